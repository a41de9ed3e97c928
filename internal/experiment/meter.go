package experiment

import (
	"golang.org/x/time/rate"
)

const (
	// loadBytes is the size of the load figures in the header of an answer.
	loadBytes = 12
	// probeBytes and reportBytes are the sizes of encrypted datagrams with their IP
	// and UDP headers.
	probeBytes  = 90
	reportBytes = 100
	// regionBudget is the goal of section 4 of docs/design.md for a node, in bytes
	// per second.
	regionBudget = 1000
	// burstDivisor is the ratio of the budget to the burst. A quarter of the budget is
	// enough for a probe, also at half the usual budget.
	burstDivisor = 4
)

// meter counts the messages and bytes of measuring traffic and limits what each node
// sends over links between regions.
type meter struct {
	emulator *emulator
	limiters []*rate.Limiter
	messages int
	bytes    int
	denied   int
	// links counts the bytes of each ordered pair of regions.
	links map[string]int
	// nodes counts the bytes that each node sent over links between regions.
	nodes []int
}

func newMeter(e *emulator) *meter {
	m := &meter{emulator: e, links: map[string]int{}, nodes: make([]int, e.deployment.Servers)}
	budget := e.options.Budget
	if budget == 0 {
		budget = regionBudget
	}
	for range e.deployment.Servers {
		// Rate and burst add up to the budget, so that it holds in every second.
		burst := budget / burstDivisor
		m.limiters = append(m.limiters, rate.NewLimiter(rate.Limit(budget-burst), int(burst)))
	}
	return m
}

// allow reports whether the sending node's budget permits a message, and counts the
// message if so.
func (m *meter) allow(from, to, bytes int) bool {
	if !m.withinBudget(from, to, bytes) {
		return false
	}
	m.count(from, to, bytes, 1)
	return true
}

// allowLoad reports whether an answer may carry the load, which adds bytes but no
// message, and counts the bytes if so. Only the policy of pkg/routing uses the load.
func (m *meter) allowLoad(e *emulator, from, to int) bool {
	if e.options.Policy != "routing" || !m.withinBudget(from, to, loadBytes) {
		return false
	}
	m.count(from, to, loadBytes, 0)
	return true
}

func (m *meter) withinBudget(from, to, bytes int) bool {
	if m.link(from, to) == "" {
		return true
	}
	if !m.limiters[from].AllowN(m.emulator.time(), bytes) {
		m.denied++
		return false
	}
	return true
}

func (m *meter) count(from, to, bytes, messages int) {
	if from == to || m.emulator.now < warmUp || m.emulator.now > warmUp+m.emulator.options.Length {
		return
	}
	m.messages += messages
	m.bytes += bytes
	if l := m.link(from, to); l != "" {
		m.links[l] += bytes
		m.nodes[from] += bytes
	}
}

// link returns the name of an ordered pair of regions, or "" within one region.
func (m *meter) link(from, to int) string {
	a, b := m.emulator.servers[from].Region, m.emulator.servers[to].Region
	if a == b {
		return ""
	}
	return a + ">" + b
}
