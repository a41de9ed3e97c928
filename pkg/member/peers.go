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
	// near holds the members of the own region in ring order, starting after
	// the own place.
	near []*Member
	// far holds the members of the other regions that can be reached.
	far []*Member
	// regions holds the members of the other regions by region.
	regions map[string][]*Member
	// names holds the other regions in order, for reproducible choices.
	names []string
	// dead holds tombstones of the own region that may have been cut off.
	dead []*Member
}

// refresh rebuilds the snapshot after the table changed.
func (p *Protocol) refresh() {
	entries, cut, version := p.table.snapshot(p.peers.version)
	if entries == nil {
		return
	}
	s := peers{version: version, regions: make(map[string][]*Member)}
	place := xxhash.Sum64String(p.self.ID)
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.place-place, b.place-place) })
	for _, e := range entries {
		if e.ID != p.self.ID {
			s.add(e, p.self.Region, cut[e.Region])
		}
	}
	s.names = slices.Sorted(maps.Keys(s.regions))
	p.peers = s
	p.cross.follow(s.names, p.clock)
}

func (s *peers) add(e entry, region string, cut bool) {
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
		if !cut {
			s.far = append(s.far, e.Member)
		}
	}
	s.all = append(s.all, e.Member)
}

// within returns a random duration below the limit.
func within(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}

// random returns n different random members of a list without skip.
func random(r *rand.Rand, list []*Member, n int, skip string) []*Member {
	picked := make([]*Member, 0, n)
	for tries := 4 * n; tries > 0 && len(list) > 0 && len(picked) < n; tries-- {
		m := list[r.IntN(len(list))]
		if m.ID != skip && !slices.Contains(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}
