package once

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Assign returns the initial shard map of a service, with owners and backups
// distributed evenly over the members. Without members, the map is empty.
func Assign(service string, members []Member) Map {
	m := Map{Service: service}
	if len(members) == 0 {
		return m
	}
	for i := range Shards {
		s := Shard{Service: service, Index: i, Epoch: 1}
		owner := pick(s, members, m.count(ownerOf), anyMember)
		s.Owner = owner.Ref
		s.Backup = pick(s, members, m.count(backupOf), preferOtherDomain(owner)).Ref
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

// rank returns the preference for a member; the highest value wins and a
// negative one excludes the member.
type rank func(Member) int

func anyMember(Member) int { return 0 }

// preferOtherDomain ranks backups for an owner. Another failure domain of the
// owner's region is best, then another region, then the same failure domain.
func preferOtherDomain(owner Member) rank {
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

// excluding returns r with the given processes excluded.
func (r rank) excluding(refs ...Ref) rank {
	return func(m Member) int {
		for _, ref := range refs {
			if ref == m.Ref {
				return -1
			}
		}
		return r(m)
	}
}

// pick returns the member with the best rank. Among members of equal rank, it
// takes the highest rendezvous score of those below the even share of the
// service's shards, or else the least loaded one. It returns the zero Member
// when no member is eligible.
func pick(s Shard, members []Member, load map[Ref]int, rankOf rank) Member {
	var best Member
	var bestRank, bestLoad int
	var bestScore uint64
	share := (Shards + len(members) - 1) / max(1, len(members))
	for _, m := range members {
		r, n, score := rankOf(m), max(0, load[m.Ref]-share+1), score(s, m.ID)
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
