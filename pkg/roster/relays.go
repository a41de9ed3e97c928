package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

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
	regions := make(map[string]bool)
	for _, e := range r.entries {
		regions[e.Region] = true
	}
	own := r.RelaysOf(region, usable)
	for name := range regions {
		if name != region {
			own = append(own, r.RelaysOf(name, usable)...)
		}
	}
	return own
}

// RelaysOf returns the relays of one region in order of preference, nil if there are
// none because the nodes are few. The hosts that have a new configuration soonest come
// first.
//
// Load pattern: a document of 4,000 routes is a megabyte. A host with 10 Mbit/s and 0.16 of
// a core needs more than a second before it can pass it on, and answers nobody meanwhile;
// one with 200 Mbit/s and 0.8 of a core needs a tenth of that.
func (r *Roster) RelaysOf(region string, usable func(Entry) bool) []Entry {
	if len(r.entries) <= directNodes {
		return nil
	}
	var nodes []Entry
	for _, e := range r.entries {
		if e.Region == region && !e.Stopping && usable(e) {
			nodes = append(nodes, e)
		}
	}
	slices.SortFunc(nodes, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.relaying(), b.relaying()), cmp.Compare(xxhash.Sum64String(a.Node), xxhash.Sum64String(b.Node)))
	})
	n := max(minRelays, (len(nodes)+nodesPerRelay-1)/nodesPerRelay)
	return nodes[:min(n, len(nodes))]
}

// relaying returns Relaying, or the longest time where it is not known.
func (e Entry) relaying() time.Duration {
	if e.Relaying == 0 {
		return math.MaxInt64
	}
	return e.Relaying
}
