package once

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Assign returns the first map of a service. Owners and backups are spread
// evenly over the members. It returns an empty map without members.
func Assign(service string, members []Member) Map {
	m := Map{Service: service}
	if len(members) == 0 {
		return m
	}
	for i := range Shards {
		s := Shard{Service: service, Index: i, Epoch: 1}
		owner := pick(s, members, m.count(ownerOf), anyMember)
		s.Owner = owner.Ref
		s.Backup = pick(s, members, m.count(backupOf), apartFrom(owner)).Ref
		m.Shards = append(m.Shards, s)
	}
	return m
}

func ownerOf(s Shard) Ref  { return s.Owner }
func backupOf(s Shard) Ref { return s.Backup }

func (m Map) count(of func(Shard) Ref) map[Ref]int {
	n := make(map[Ref]int)
	for _, s := range m.Shards {
		n[of(s)]++
	}
	return n
}

// rank orders members by fitness; a negative rank excludes the member.
type rank func(Member) int

func anyMember(Member) int { return 0 }

// apartFrom prefers members in another failure domain of the owner's region.
func apartFrom(owner Member) rank {
	return func(m Member) int {
		switch {
		case m.Ref == owner.Ref || m.ID == owner.ID:
			return -1
		case m.Region == owner.Region && m.Domain != owner.Domain:
			return 3
		case m.Region != owner.Region:
			return 2
		default:
			return 1
		}
	}
}

// without excludes more members from a rank.
func (r rank) without(refs ...Ref) rank {
	return func(m Member) int {
		for _, ref := range refs {
			if ref == m.Ref {
				return -1
			}
		}
		return r(m)
	}
}

// pick returns the member of the best rank with the highest rendezvous score
// among those below the even share of the service's shards. Without any below
// it, the least loaded wins. The zero Member means that there is none.
func pick(s Shard, members []Member, load map[Ref]int, fit rank) Member {
	var best Member
	var bestRank, bestLoad int
	var bestScore uint64
	share := (Shards + len(members) - 1) / max(1, len(members))
	for _, m := range members {
		r, n, score := fit(m), max(0, load[m.Ref]-share+1), score(s, m.ID)
		if r < 0 {
			continue
		}
		better := r > bestRank || r == bestRank && (n < bestLoad || n == bestLoad && score > bestScore)
		if best.IsZero() || better {
			best, bestRank, bestLoad, bestScore = m, r, n, score
		}
	}
	return best
}

func score(s Shard, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(s.Service)
	_, _ = d.Write(binary.BigEndian.AppendUint32([]byte{0}, uint32(s.Index)))
	_, _ = d.WriteString(id)
	return d.Sum64()
}
