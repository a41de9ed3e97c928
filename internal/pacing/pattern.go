// Package pacing emulates backend servers whose speed changes within milliseconds,
// at loads up to overload, and compares policies that place, queue and refuse
// requests. It runs the decisions of pkg/ on a fake clock that advances by one
// millisecond, without a network.
package pacing

import (
	"slices"
	"time"
)

// Pattern describes a set of servers and the load on them.
type Pattern struct {
	Name string
	// Servers is the number of servers. Each has Slots and a node beside it, and each
	// node receives an equal share of the requests.
	Servers, Slots int
	// Domains is the number of failure domains. Servers are assigned to domains, and
	// domains to regions, in turn.
	Domains, Regions int
	// DomainDelay and RegionDelay are one-way delays to another domain and region.
	DomainDelay, RegionDelay time.Duration
	// Other workloads on the host slow a server down by SlowFactor during the share
	// SlowShare of the time, in periods of the length SlowTime.
	SlowShare, SlowFactor float64
	SlowTime              time.Duration
	// Joined is set if one slow period may directly follow another, so that a server
	// can be slow for several times SlowTime.
	Joined bool
	// Requests that start with more than the share Knee of the slots busy take
	// KneeFactor times as long. A factor of 1 means that there is no knee.
	Knee, KneeFactor float64
	// Kinds lists the kinds of requests, the most urgent first.
	Kinds []Kind
}

// Kind describes requests of the same duration, objective and value.
type Kind struct {
	Name string
	// Rate is the rate over all nodes at the usual load, in requests per second.
	Rate float64
	// Work is the mean duration outside slow periods, with a spread of workSpread.
	Work time.Duration
	// Objective and Deadline count from the first attempt.
	Objective, Deadline time.Duration
	// Value is the credit of an answer within the objective.
	Value float64
}

// lateCredit is the share of its value that an answer after the objective earns.
const lateCredit = 0.1

// Patterns returns the patterns of the deployments in docs/platform.md: servers that
// slow down when nearly all of their slots are busy, servers that do not, and servers
// with slow periods that last longer than most objectives.
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
	long := Pattern{
		Name: "long", Servers: 6, Slots: 12, Domains: 6, Regions: 3,
		DomainDelay: 500 * time.Microsecond, RegionDelay: 8 * time.Millisecond,
		SlowShare: 0.25, SlowFactor: 7, SlowTime: 500 * time.Millisecond, Joined: true, Knee: 1, KneeFactor: 1,
		Kinds: []Kind{
			{Name: "order", Rate: 59, Work: 120 * time.Millisecond, Objective: 400 * time.Millisecond, Deadline: time.Second, Value: 2},
			{Name: "lookup", Rate: 139, Work: 90 * time.Millisecond, Objective: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 1},
		},
	}
	return []Pattern{knee, flat, long}
}

// PatternNamed returns the pattern with the name, or false if there is none.
func PatternNamed(name string) (Pattern, bool) {
	all := Patterns()
	i := slices.IndexFunc(all, func(p Pattern) bool { return p.Name == name })
	if i < 0 {
		return Pattern{}, false
	}
	return all[i], true
}

// WithServers returns the pattern with another number of servers and the same load
// on each.
func (p Pattern) WithServers(n int) Pattern {
	kinds := slices.Clone(p.Kinds)
	for i := range kinds {
		kinds[i].Rate *= float64(n) / float64(p.Servers)
	}
	p.Servers, p.Kinds = n, kinds
	return p
}

// Case is the name of the disturbance of a run.
type Case string

// Cases of a run. All begin after warmUp and last for caseDuration.
const (
	Steady Case = "steady"
	// Burst multiplies the load by burstFactor.
	Burst Case = "burst"
	// Cold slows every server down by coldFactor, as after a power failure.
	Cold Case = "cold"
	// Fewer removes a third of the servers.
	Fewer Case = "fewer"
)

const (
	burstFactor = 1.7
	coldFactor  = 2.0
	// removeEvery is the distance between the indexes of removed servers.
	removeEvery  = 3
	caseDuration = 3 * time.Second
)

// Cases returns all cases, in the order in which commands list them.
func Cases() []Case { return []Case{Steady, Burst, Cold, Fewer} }
