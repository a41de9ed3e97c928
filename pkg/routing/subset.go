package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// subset appends to buf the servers that the node uses, closest first. Half
// of the places go to the node's own failure domain, a quarter to the rest of
// its region and a quarter to other regions; places that one part leaves free
// go to the others. Within a part, rendezvous hashing spreads the nodes evenly
// and keeps most of a subset when servers come and go.
func subset(all []*entry, node string, size int, buf []*entry) []*entry {
	ranked := make([]*entry, len(all))
	copy(ranked, all)
	rank := make(map[*entry]uint64, len(all))
	for _, e := range all {
		rank[e] = xxhash.Sum64String(node + "\x00" + e.ID)
	}
	slices.SortFunc(ranked, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.locality, b.locality), cmp.Compare(rank[a], rank[b]), cmp.Compare(a.ID, b.ID))
	})
	if len(ranked) <= size {
		return append(buf, ranked...)
	}
	var have [localities]int
	for _, e := range ranked {
		have[e.locality]++
	}
	take := shares(have, size)
	for _, e := range ranked {
		if take[e.locality] > 0 {
			take[e.locality]--
			buf = append(buf, e)
		}
	}
	return buf
}

// shares divides size places between the localities.
func shares(have [localities]int, size int) [localities]int {
	take := [localities]int{near: size / 2, regional: size / 4}
	take[distant] = size - take[near] - take[regional]
	free := 0
	for l := range take {
		if take[l] > have[l] {
			free += take[l] - have[l]
			take[l] = have[l]
		}
	}
	for l := range take {
		more := min(free, have[l]-take[l])
		take[l] += more
		free -= more
	}
	return take
}
