package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of groups of records whose checksums form the digest of a
// table. At 710 members a bucket holds 11 records, which fit into one reply.
const Buckets = 64

func bucket(e *entry) int { return int(e.position % Buckets) }

// updateDigest updates the digest after an entry changed. Tombstones are left out
// of it because they expire at different times on different nodes.
func (t *Table) updateDigest(e *entry) {
	var sum uint32
	if !e.tombstone() {
		sum = hashRecord(e.Member)
	}
	t.sums[bucket(e)] ^= e.sum ^ sum
	e.sum = sum
	if t.fingerprints == nil {
		t.fingerprints = make(map[uint64]string)
	}
	delete(t.fingerprints, e.fingerprint)
	e.fingerprint = fingerprint(e.Member)
	t.fingerprints[e.fingerprint] = e.ID
}

// fingerprint returns the hash that identifies one version of a member's record.
func fingerprint(m *Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Seq)
	return xxhash.Sum64(b)
}

// byFingerprint returns the record with the fingerprint.
func (t *Table) byFingerprint(fingerprint uint64) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[t.fingerprints[fingerprint]]
	if e == nil || e.fingerprint != fingerprint {
		return Member{}, false
	}
	return *e.Member, true
}

// domainMembers returns the members of a failure domain by their short
// fingerprints, tombstones included. A fingerprint that several members share maps
// to the zero record.
func (t *Table) domainMembers(region, domain string) map[uint16]Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := make(map[uint16]Member)
	for _, e := range t.entries {
		if e.Region != region || e.Domain != domain {
			continue
		}
		if _, shared := found[shortFingerprint(e.fingerprint)]; shared {
			found[shortFingerprint(e.fingerprint)] = Member{}
			continue
		}
		found[shortFingerprint(e.fingerprint)] = *e.Member
	}
	return found
}

// hashRecord returns the checksum of a record. Incarnation and sequence number
// identify all fields that the member itself sets. Config is carried by each message
// and left out, since a configuration change would make all tables differ.
// Suspicion is left out because only the monitors of a member know about it.
func hashRecord(m *Member) uint32 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Seq)
	b = append(b, byte(m.Announced))
	return uint32(xxhash.Sum64(b))
}

// digest returns the checksums of all buckets in wire form.
func (t *Table) digest() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := make([]byte, 0, 4*Buckets)
	for _, s := range t.sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	return b
}

// differing returns the buckets whose checksums in the digest differ from those of
// the table.
func (t *Table) differing(digest []byte) []int {
	if len(digest) != 4*Buckets {
		return nil
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var diff []int
	for i, s := range t.sums {
		if binary.BigEndian.Uint32(digest[4*i:]) != s {
			diff = append(diff, i)
		}
	}
	return diff
}

// bucketRecords returns the records of one bucket in the order of their IDs. It
// leaves out tombstones older than tombstoneSend.
func (t *Table) bucketRecords(i int) []*Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var records []*Member
	for _, e := range t.entries {
		if bucket(e) != i || e.tombstone() && t.clock-e.since > tombstoneSend {
			continue
		}
		m := e.Member
		if e.replaced {
			// The receiver may not know the successor.
			dead := m.WithState(StateDead)
			m = &dead
		}
		records = append(records, m)
	}
	slices.SortFunc(records, func(a, b *Member) int { return strings.Compare(a.ID, b.ID) })
	return records
}
