package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// directNodes is the number of nodes up to which each follows the registry
	// itself: their calls cost less than what relaying adds.
	directNodes = 24
	// leastFollowers is how many nodes of a region follow the registry for the
	// others, so that one may be cut off from it and one lost at the same time.
	leastFollowers = 3
	// nodesEach is for how many nodes of a region one follows: each holds about
	// twice as many requests of others open.
	nodesEach = 32
)

// Relays returns the nodes that follow the registry and tell the others, own
// region first, best first. Each node computes them from what it knows; where two
// disagree, a few nodes more follow. A nil result means that each node follows the
// registry itself.
//
// Load pattern: a change of configuration wakes all nodes, and each asks the
// registry again; at hundreds of nodes these calls cost more than the requests.
func (r *Roster) Relays(region string, usable func(Entry) bool) []Entry {
	if len(r.entries) <= directNodes {
		return nil
	}
	type ranked struct {
		Entry
		rank uint64
	}
	regions := make(map[string][]ranked)
	for _, e := range r.entries {
		if !e.Stopping && usable(e) {
			regions[e.Region] = append(regions[e.Region], ranked{e, xxhash.Sum64String(e.Node)})
		}
	}
	var own, others []Entry
	for name, nodes := range regions {
		slices.SortFunc(nodes, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		n := max(leastFollowers, (len(nodes)+nodesEach-1)/nodesEach)
		for _, e := range nodes[:min(n, len(nodes))] {
			if name == region {
				own = append(own, e.Entry)
			} else {
				others = append(others, e.Entry)
			}
		}
	}
	return append(own, others...)
}
