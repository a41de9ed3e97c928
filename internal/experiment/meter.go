package experiment

import (
	"golang.org/x/time/rate"
)

const (
	// loadBytes is the size of the load in the head of an answer.
	loadBytes = 12
	// probeBytes and reportBytes are assumed sizes of datagrams with their IP
	// and UDP headers and the sealing.
	probeBytes  = 90
	reportBytes = 100
	// regionBudget is the goal of section 4 for a node, in bytes a second.
	regionBudget = 1000
	// burstPart is the part of the budget that may be sent at once: enough for
	// a probe at half the budget.
	burstPart = 4
)

// meter counts measuring messages and their bytes and keeps each node within
// its budget for region links.
type meter struct {
	w        *world
	limits   []*rate.Limiter
	messages int
	bytes    int
	denied   int
	// links counts bytes for each ordered pair of regions.
	links map[string]int
	// nodes counts bytes that each node sent over region links.
	nodes []int
}

func newMeter(w *world) *meter {
	m := &meter{w: w, links: map[string]int{}, nodes: make([]int, w.dep.Servers)}
	budget := w.opt.Budget
	if budget == 0 {
		budget = regionBudget
	}
	for range w.dep.Servers {
		// Rate and burst add up to the budget, so that no second exceeds it.
		burst := budget / burstPart
		m.limits = append(m.limits, rate.NewLimiter(rate.Limit(budget-burst), int(burst)))
	}
	return m
}

// allow asks the sending node's budget and counts a message.
func (m *meter) allow(from, to, bytes int) bool {
	if !m.afford(from, to, bytes) {
		return false
	}
	m.count(from, to, bytes, 1)
	return true
}

// answer reports whether an answer carries the load; that costs bytes but no
// message. Only pkg/routing uses it.
func (m *meter) answer(w *world, from, to int) bool {
	if w.opt.Policy != "routing" || !m.afford(from, to, loadBytes) {
		return false
	}
	m.count(from, to, loadBytes, 0)
	return true
}

func (m *meter) afford(from, to, bytes int) bool {
	if m.link(from, to) == "" {
		return true
	}
	if !m.limits[from].AllowN(m.w.time(), bytes) {
		m.denied++
		return false
	}
	return true
}

func (m *meter) count(from, to, bytes, messages int) {
	if from == to || m.w.now < warmUp || m.w.now > warmUp+m.w.opt.Length {
		return
	}
	m.messages += messages
	m.bytes += bytes
	if l := m.link(from, to); l != "" {
		m.links[l] += bytes
		m.nodes[from] += bytes
	}
}

// link names the ordered pair of regions, or is empty within one region.
func (m *meter) link(from, to int) string {
	a, b := m.w.servers[from].Region, m.w.servers[to].Region
	if a == b {
		return ""
	}
	return a + ">" + b
}
