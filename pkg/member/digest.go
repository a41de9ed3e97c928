package member

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of groups in which tables are compared. At 710 members
// a bucket of 11 records fits into one answer.
const Buckets = 64

func bucket(e *entry) int { return int(e.place % Buckets) }

// resum updates the digest after an entry changed. Tombstones count as absent:
// they expire at different times on different nodes.
func (t *Table) resum(e *entry) {
	var sum uint32
	if !e.tombstone() {
		sum = hashRecord(e.Member)
	}
	t.sums[bucket(e)] ^= e.sum ^ sum
	e.sum = sum
	if t.marks == nil {
		t.marks = make(map[uint64]string)
	}
	delete(t.marks, e.mark)
	e.mark = mark(e.Member)
	t.marks[e.mark] = e.ID
}

// mark names one announcement of one member.
func mark(m *Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Seq)
	return xxhash.Sum64(b)
}

// marked returns the record with the mark.
func (t *Table) marked(mark uint64) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[t.marks[mark]]
	if e == nil || e.mark != mark {
		return Member{}, false
	}
	return *e.Member, true
}

// shorts returns the members of a failure domain, tombstones included, by their
// short marks, without those that share one.
func (t *Table) shorts(region, domain string) map[uint16]Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	found := make(map[uint16]Member)
	for _, e := range t.entries {
		if e.Region != region || e.Domain != domain {
			continue
		}
		if _, shared := found[short(e.mark)]; shared {
			found[short(e.mark)] = Member{}
			continue
		}
		found[short(e.mark)] = *e.Member
	}
	return found
}

// hashRecord covers what determines a record. Incarnation and sequence stand
// for all that the member itself announced; Config travels with each message
// and is left out, since a configuration change would make all tables differ;
// so is suspicion, which only the monitors of a member know.
func hashRecord(m *Member) uint32 {
	b := make([]byte, 0, 64)
	b = append(b, m.ID...)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Seq)
	b = append(b, byte(m.Announced))
	return uint32(xxhash.Sum64(b))
}

// digest returns the sums of all buckets in wire form.
func (t *Table) digest() []byte {
	t.mu.RLock()
	defer t.mu.RUnlock()
	b := make([]byte, 0, 4*Buckets)
	for _, s := range t.sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	return b
}

// differing returns the buckets in which a digest differs from the table.
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

// bucketRecords returns the records of one bucket with the tombstones that may
// still be sent.
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
