package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// policy places requests. Entry nodes and servers are identified by index.
type policy interface {
	// pick returns the server for the next attempt of a request, or -1.
	pick(r *request) int
	// done records the end of an attempt at its entry node.
	done(entry, server int, o routing.Outcome, latency time.Duration)
	// onLoad records the load that came with an answer or a probe.
	onLoad(entry, server int, l routing.Load)
	// onReport records a periodic report. Reports are sent only if usesReports
	// returns true.
	onReport(entry, server int, l routing.Load)
	usesReports() bool
	// suspect reports whether the server appears slow to the entry node; see
	// routing.Table.Suspect.
	suspect(entry, server int) bool
	// tick is called once per tickPeriod.
	tick()
}

// policies holds the constructors of the policies by name.
var policies = map[string]func(*emulator) policy{
	"random":        func(e *emulator) policy { return &random{newBase(e)} },
	"round-robin":   func(e *emulator) policy { return &roundRobin{base: newBase(e)} },
	"least-reports": func(e *emulator) policy { return &leastReports{base: newBase(e), reportedLoad: entryServerCounts(e)} },
	"two-choices":   func(e *emulator) policy { return &twoChoices{base: newBase(e), inFlight: entryServerCounts(e)} },
	"oracle":        func(e *emulator) policy { return &oracle{newBase(e)} },
	"routing":       newRoutingTables,
}

// Policies lists the names of the policies in the order of the tables.
func Policies() []string {
	return []string{"random", "round-robin", "least-reports", "two-choices", "oracle", "routing"}
}

// entryServerCounts returns one count for each entry node and server.
func entryServerCounts(e *emulator) [][]int {
	m := make([][]int, e.deployment.Servers)
	for i := range m {
		m[i] = make([]int, e.deployment.Servers)
	}
	return m
}

// base is embedded in all policies and ignores all results and load figures.
type base struct {
	emulator *emulator
	rng      *rand.Rand
}

func newBase(e *emulator) base {
	return base{e, rand.New(rand.NewPCG(e.options.Seed, 3))}
}

func (base) done(int, int, routing.Outcome, time.Duration) {}
func (base) onLoad(int, int, routing.Load)                 {}
func (base) onReport(int, int, routing.Load)               {}
func (base) usesReports() bool                             { return false }
func (base) suspect(int, int) bool                         { return false }
func (base) tick()                                         {}

// usable reports whether the request may be sent to the server: it was not tried
// there before, and the membership has not declared the server dead.
func (b *base) usable(r *request, i int) bool {
	return !slices.Contains(r.tried, i) && !b.emulator.dead[r.entry][i]
}

// leastCost returns the usable server with the lowest cost, or -1. It starts at a
// random server, so that ties are broken at random.
func (b *base) leastCost(r *request, cost func(i int) float64) int {
	n := b.emulator.deployment.Servers
	best, lowest := -1, 0.0
	first := b.rng.IntN(n)
	for k := range n {
		i := (first + k) % n
		if !b.usable(r, i) {
			continue
		}
		if c := cost(i); best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

type random struct{ base }

func (p *random) pick(r *request) int {
	return p.leastCost(r, func(int) float64 { return 0 })
}

type roundRobin struct {
	base
	next []int
}

func (p *roundRobin) pick(r *request) int {
	n := p.emulator.deployment.Servers
	if p.next == nil {
		// Entry nodes start at different servers, like processes that were started
		// at different times.
		p.next = p.rng.Perm(n)
	}
	for range n {
		i := p.next[r.entry] % n
		p.next[r.entry]++
		if p.usable(r, i) {
			return i
		}
	}
	return -1
}

// leastReports picks the server with the lowest load in its newest periodic report.
type leastReports struct {
	base
	reportedLoad [][]int
}

func (p *leastReports) pick(r *request) int {
	return p.leastCost(r, func(i int) float64 { return float64(p.reportedLoad[r.entry][i]) })
}

func (p *leastReports) onReport(entry, i int, l routing.Load) {
	p.reportedLoad[entry][i] = l.InFlight + l.Queued
}
func (p *leastReports) usesReports() bool { return true }

// twoChoices picks the one of two random servers that has fewer requests from the
// entry node in flight.
type twoChoices struct {
	base
	inFlight [][]int
}

func (p *twoChoices) pick(r *request) int {
	a := p.leastCost(r, func(int) float64 { return p.rng.Float64() })
	b := p.leastCost(r, func(i int) float64 {
		if i == a {
			return 2
		}
		return p.rng.Float64()
	})
	if b >= 0 && p.inFlight[r.entry][b] < p.inFlight[r.entry][a] {
		a = b
	}
	if a >= 0 {
		p.inFlight[r.entry][a]++
	}
	return a
}

func (p *twoChoices) done(entry, i int, _ routing.Outcome, _ time.Duration) { p.inFlight[entry][i]-- }
