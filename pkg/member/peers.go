package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peers is a snapshot of the other members, rebuilt when the table changes.
type peers struct {
	version uint64
	// all holds every other member that is not a tombstone.
	all []*Member
	// near holds the members of the local region in ring order, starting after the
	// local member.
	near []*Member
	// far holds the members of the other regions that are reachable.
	far []*Member
	// regions holds the members of the other regions by region.
	regions map[string][]*Member
	// regionNames holds the sorted names of the other regions, so that random
	// choices are reproducible.
	regionNames []string
	// dead holds tombstones of the local region whose members may only have been
	// partitioned.
	dead []*Member
}

// refresh rebuilds the snapshot after the table changed.
func (p *Protocol) refresh() {
	entries, unreachable, version := p.table.snapshot(p.peers.version)
	if entries == nil {
		return
	}
	s := peers{version: version, regions: make(map[string][]*Member)}
	position := xxhash.Sum64String(p.self.ID)
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.position-position, b.position-position) })
	for _, e := range entries {
		if e.ID != p.self.ID {
			s.add(e, p.self.Region, unreachable[e.Region])
		}
	}
	s.regionNames = slices.Sorted(maps.Keys(s.regions))
	p.peers = s
	p.regionMonitor.setRegions(s.regionNames, p.clock)
}

func (s *peers) add(e entry, region string, unreachable bool) {
	switch {
	case e.replaced:
		return
	case e.State == StateDead:
		if e.Announced == StateAlive && e.Region == region {
			s.dead = append(s.dead, e.Member)
		}
		return
	case e.Region == region:
		s.near = append(s.near, e.Member)
	default:
		s.regions[e.Region] = append(s.regions[e.Region], e.Member)
		if !unreachable {
			s.far = append(s.far, e.Member)
		}
	}
	s.all = append(s.all, e.Member)
}

// randomDuration returns a random duration below the limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// sample returns up to n different random members of a list, leaving out the one
// with the ID skip.
func sample(r *rand.Rand, list []*Member, n int, skip string) []*Member {
	picked := make([]*Member, 0, n)
	for tries := 4 * n; tries > 0 && len(list) > 0 && len(picked) < n; tries-- {
		m := list[r.IntN(len(list))]
		if m.ID != skip && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}
