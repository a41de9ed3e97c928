package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// policy places requests. The indexes are those of entries and servers.
type policy interface {
	// pick returns the server for the next attempt of a request, or -1.
	pick(r *request) int
	done(entry, server int, o routing.Outcome, latency time.Duration)
	// loaded takes in the load that an answer or a probe carried.
	loaded(entry, server int, l routing.Load)
	// reported takes in a periodic report; reports tells whether they are sent.
	reported(entry, server int, l routing.Load)
	reports() bool
	// suspect reports whether the entry doubts the server.
	suspect(entry, server int) bool
	tick()
}

var policies = map[string]func(*world) policy{
	"random":        func(w *world) policy { return &random{newBase(w)} },
	"round-robin":   func(w *world) policy { return &roundRobin{base: newBase(w)} },
	"least-reports": func(w *world) policy { return &leastReports{base: newBase(w), seen: matrix(w)} },
	"two-choices":   func(w *world) policy { return &twoChoices{base: newBase(w), own: matrix(w)} },
	"oracle":        func(w *world) policy { return &oracle{newBase(w)} },
	"routing":       newTables,
}

// Policies lists the names of the policies in the order of the tables.
func Policies() []string {
	return []string{"random", "round-robin", "least-reports", "two-choices", "oracle", "routing"}
}

func matrix(w *world) [][]int {
	m := make([][]int, w.dep.Servers)
	for i := range m {
		m[i] = make([]int, w.dep.Servers)
	}
	return m
}

// base holds what all policies share and ignores all signals.
type base struct {
	w   *world
	rng *rand.Rand
}

func newBase(w *world) base {
	return base{w, rand.New(rand.NewPCG(w.opt.Seed, 3))}
}

func (base) done(int, int, routing.Outcome, time.Duration) {}
func (base) loaded(int, int, routing.Load)                 {}
func (base) reported(int, int, routing.Load)               {}
func (base) reports() bool                                 { return false }
func (base) suspect(int, int) bool                         { return false }
func (base) tick()                                         {}

// usable reports whether the request may go to the server: it was not tried
// there, and the membership does not know it to be gone.
func (b *base) usable(r *request, i int) bool {
	return !slices.Contains(r.tried, i) && !b.w.dead[r.entry][i]
}

// least returns the usable server with the lowest cost; it starts at a random
// place so that ties are broken at random.
func (b *base) least(r *request, cost func(i int) float64) int {
	n := b.w.dep.Servers
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
	return p.least(r, func(int) float64 { return 0 })
}

type roundRobin struct {
	base
	next []int
}

func (p *roundRobin) pick(r *request) int {
	n := p.w.dep.Servers
	if p.next == nil {
		// Entries start at different places, as processes started at
		// different times do.
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

// leastReports uses the newest periodic report of each server.
type leastReports struct {
	base
	seen [][]int
}

func (p *leastReports) pick(r *request) int {
	return p.least(r, func(i int) float64 { return float64(p.seen[r.entry][i]) })
}

func (p *leastReports) reported(entry, i int, l routing.Load) {
	p.seen[entry][i] = l.InFlight + l.Queued
}
func (p *leastReports) reports() bool { return true }

// twoChoices compares the entry's own requests in flight at two servers.
type twoChoices struct {
	base
	own [][]int
}

func (p *twoChoices) pick(r *request) int {
	a := p.least(r, func(int) float64 { return p.rng.Float64() })
	b := p.least(r, func(i int) float64 {
		if i == a {
			return 2
		}
		return p.rng.Float64()
	})
	if b >= 0 && p.own[r.entry][b] < p.own[r.entry][a] {
		a = b
	}
	if a >= 0 {
		p.own[r.entry][a]++
	}
	return a
}

func (p *twoChoices) done(entry, i int, _ routing.Outcome, _ time.Duration) { p.own[entry][i]-- }
