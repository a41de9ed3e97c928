package roster

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// directNodes is the number of nodes up to which each watches the registry
	// itself, because that costs fewer calls than relaying adds.
	directNodes = 24
	// minRelays is the number of nodes of a region that watch the registry for the
	// others, so that one may be cut off from it and another one lost at the same
	// time.
	minRelays = 3
	// nodesPerRelay is the number of nodes of a region for each relay. A relay keeps
	// about twice as many requests of other nodes open.
	nodesPerRelay = 32
)

// Relays returns the nodes that watch the registry and relay changes to the others:
// those of the own region first, in order of preference. Each node computes the list
// from its own view; if views differ, a few more nodes watch the registry. A nil
// result means that every node watches the registry itself.
//
// Load pattern: a change of configuration wakes all nodes, and each calls the
// registry again. With hundreds of nodes these calls cost more than the requests of
// callers.
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
		n := max(minRelays, (len(nodes)+nodesPerRelay-1)/nodesPerRelay)
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
