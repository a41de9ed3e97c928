// Package pacing emulates backend servers whose pace changes within
// milliseconds, under load up to more than they can do, and compares ways to
// place, hold back and refuse requests. It runs the decisions of pkg/ on a fake
// clock, without a network: tables of servers and requests, and systems that run
// over them each millisecond.
package pacing

import (
	"slices"
	"time"
)

// Pattern is a set of servers and the load on them.
type Pattern struct {
	Name string
	// Servers is their number; each has Slots, and a node beside it at which an
	// equal share of the requests arrives.
	Servers, Slots int
	// Domains and Regions are filled in turn.
	Domains, Regions int
	// DomainDelay and RegionDelay are one-way times.
	DomainDelay, RegionDelay time.Duration
	// Neighbours slow a server by SlowFactor for SpellTime, SlowShare of the time.
	SlowShare, SlowFactor float64
	SlowTime               time.Duration
	// Runs that begin with more than Knee of the slots busy take KneeFactor as long;
	// a factor of 1 means that there is no knee.
	Knee, KneeFactor float64
	// Kinds of requests, the most urgent first.
	Kinds []Kind
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is that of all nodes, in requests a second, at the usual load.
	Rate float64
	// Work is the mean duration at the usual pace, with a spread of workSpread.
	Work time.Duration
	// Objective and Deadline count from the first attempt.
	Objective, Deadline time.Duration
	// Value is the credit of an answer within the objective.
	Value float64
}

// lateCredit is the share of its worth that a late answer earns.
const lateCredit = 0.1

// Patterns are those of the deployments in docs/platform.md: servers that slow
// down when nearly all of their slots are busy, and servers that do not.
func Patterns() []Pattern {
	knee := Pattern{
		Name: "knee", Servers: 10, Slots: 12, Domains: 6, Regions: 3,
		DomainDelay: 900 * time.Microsecond, RegionDelay: 8 * time.Millisecond,
		SlowShare: 0.25, SlowFactor: 5, SlowTime: 150 * time.Millisecond, Knee: 0.8, KneeFactor: 1.7,
		Kinds: []Kind{
			{Name: "order", Rate: 99.6, Work: 120 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 2},
			{Name: "lookup", Rate: 208, Work: 90 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 1200 * time.Millisecond, Value: 1},
		},
	}
	flat := Pattern{
		Name: "flat", Servers: 8, Slots: 17, Domains: 6, Regions: 3,
		DomainDelay: 1400 * time.Microsecond, RegionDelay: 8 * time.Millisecond,
		SlowShare: 0.35, SlowFactor: 5, SlowTime: 150 * time.Millisecond, Knee: 1, KneeFactor: 1,
		Kinds: []Kind{
			{Name: "order", Rate: 81.2, Work: 120 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: time.Second, Value: 2},
			{Name: "lookup", Rate: 269, Work: 90 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 1},
		},
	}
	return []Pattern{knee, flat}
}

// PatternNamed returns the pattern with the name.
func PatternNamed(name string) (Pattern, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return all[i], true
}

// WithServers returns the pattern with another number of servers and as much load
// for each.
func (p Pattern) WithServers(n int) Pattern {
	kinds := slices.Clone(p.Kinds)
	for i := range kinds {
		kinds[i].Rate *= float64(n) / float64(p.Servers)
	}
	p.Servers, p.Kinds = n, kinds
	return p
}

// Case is what happens during a run.
type Case string

// Cases of a run. All begin after warmUp and last for caseTime.
const (
	Steady Case = "steady"
	// Burst multiplies the load by burstFactor.
	Burst Case = "burst"
	// Cold makes every server slow by coldFactor, as after a loss of power.
	Cold Case = "cold"
	// Fewer takes a third of the servers away.
	Fewer Case = "fewer"
)

const (
	burstFactor = 1.7
	coldFactor  = 2.0
	// fewerEach takes each third server away.
	fewerEach = 3
	caseTime  = 3 * time.Second
)

// Cases returns all cases.
func Cases() []Case { return []Case{Steady, Burst, Cold, Fewer} }
