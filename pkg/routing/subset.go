package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// chooseSubset appends to buf the servers that the node uses, closest first. Half
// of the subset is taken from the node's own failure domain, a quarter from the
// rest of its region and a quarter from other regions; what one locality cannot
// fill goes to the others. Within a locality, rendezvous hashing spreads the nodes
// evenly over the servers and keeps most of a subset when servers are added or
// removed.
func chooseSubset(all []*entry, node string, size int, buf []*entry) []*entry {
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
	var have [localityCount]int
	for _, e := range ranked {
		have[e.locality]++
	}
	take := divideSize(have, size)
	for _, e := range ranked {
		if take[e.locality] > 0 {
			take[e.locality]--
			buf = append(buf, e)
		}
	}
	return buf
}

// divideSize divides a subset of the given size between the localities.
func divideSize(have [localityCount]int, size int) [localityCount]int {
	take := [localityCount]int{sameDomain: size / 2, sameRegion: size / 4}
	take[otherRegion] = size - take[sameDomain] - take[sameRegion]
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
