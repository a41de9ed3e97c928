package member

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table holds the records of all known members. The zero value is empty and
// ready. It is safe for concurrent use.
type Table struct {
	mu sync.RWMutex
	// entries includes tombstones; the key is the member's ID.
	entries map[string]*entry
	// unreachable holds the regions that cannot be reached from this one.
	unreachable map[string]bool
	// pending holds the view of changed members before the change; nil means that
	// the member was not visible.
	pending map[string]*Member
	// sums holds the XOR of the entries' checksums in each bucket.
	sums [Buckets]uint32
	// fingerprints maps the fingerprint of an entry to its ID.
	fingerprints map[uint64]string
	// version increases with each change that snapshot has to return.
	version uint64
	// clock is the time of the protocol, used for the age of tombstones.
	clock time.Duration
}

// entry is a record with its derived values. The record is replaced, never modified,
// so that snapshots can share it.
type entry struct {
	*Member
	// position is the member's position on the ring of monitors.
	position uint64
	// replaced means that a member with another ID and a newer incarnation has the
	// same address.
	replaced bool
	// since is when the record became dead or replaced.
	since time.Duration
	// sum is the entry's checksum in the digest; zero for tombstones.
	sum uint32
	// fingerprint identifies the record in updates about dead members.
	fingerprint uint64
}

func (e *entry) tombstone() bool { return e.replaced || e.State == StateDead }

// Merge adds a record and reports whether the table changed.
func (t *Table) Merge(m Member) bool {
	if m.ID == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(m.normalized())
}

func (t *Table) merge(m Member) bool {
	old := t.entries[m.ID]
	if old == nil {
		t.insert(m)
		return true
	}
	merged := Merge(*old.Member, m)
	if merged == *old.Member {
		return false
	}
	t.saveView(m.ID)
	before := *old.Member
	old.Member = &merged
	if before.Addr != merged.Addr {
		old.replaced = false // resolveHolder sets it for the new address
	}
	if before.Addr != merged.Addr || before.Incarnation != merged.Incarnation {
		t.resolveHolder(before.Addr)
		t.resolveHolder(merged.Addr)
	}
	if merged.State == StateDead && before.State != StateDead {
		old.since = t.clock
	}
	t.updateDigest(old)
	if compare(before, merged) == 0 {
		return false // only the configuration version is higher
	}
	t.version++
	return true
}

func (t *Table) insert(m Member) {
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	t.saveView(m.ID)
	e := &entry{Member: &m, position: xxhash.Sum64String(m.ID), since: t.clock}
	t.entries[m.ID] = e
	t.resolveHolder(m.Addr)
	t.updateDigest(e)
	t.version++
}

// resolveHolder marks all members with an address as replaced except the one with
// the newest incarnation. The result depends only on the records, not on the order
// in which they were merged.
func (t *Table) resolveHolder(addr string) {
	if addr == "" {
		return
	}
	var holder *entry
	for _, e := range t.entries {
		if e.Addr == addr && (holder == nil || newerHolder(e, holder)) {
			holder = e
		}
	}
	for id, e := range t.entries {
		if e.Addr != addr || e.replaced == (e != holder) {
			continue
		}
		t.saveView(id)
		e.replaced, e.since = e != holder, t.clock
		t.updateDigest(e)
		t.version++
	}
}

func newerHolder(a, b *entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.ID > b.ID
}

// view returns the record that callers of the package see of an entry, and whether
// the member is visible to them.
func (t *Table) view(e *entry) (Member, bool) {
	if e == nil || e.tombstone() {
		return Member{}, false
	}
	m := *e.Member
	if t.unreachable[m.Region] {
		m.State = StateUnreachable
	}
	return m, true
}

// Get returns the visible member with the ID.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.view(t.entries[id])
}

// Members returns all visible members in no particular order.
func (t *Table) Members() []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		if m, visible := t.view(e); visible {
			members = append(members, m)
		}
	}
	return members
}

// Len returns the number of visible members.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, e := range t.entries {
		if !e.tombstone() {
			n++
		}
	}
	return n
}

// record returns the stored record, which may be a tombstone.
func (t *Table) record(id string) (m Member, tombstone, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	if e == nil {
		return Member{}, false, false
	}
	return *e.Member, e.tombstone(), true
}

// maxIncarnation returns the highest incarnation seen at the address under any ID.
func (t *Table) maxIncarnation(addr string) uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var newest uint64
	for _, e := range t.entries {
		if e.Addr == addr {
			newest = max(newest, e.Incarnation)
		}
	}
	return newest
}

// setUnreachable sets whether the members of a region are unreachable.
func (t *Table) setUnreachable(region string, unreachable bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.Region == region {
			t.saveView(id)
		}
	}
	if t.unreachable == nil {
		t.unreachable = make(map[string]bool)
	}
	t.unreachable[region] = unreachable
	t.version++
}

// remove removes the entries for which drop returns true.
func (t *Table) remove(drop func(e *entry) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !drop(e) {
			continue
		}
		t.saveView(id)
		t.sums[bucket(e)] ^= e.sum
		delete(t.entries, id)
		delete(t.fingerprints, e.fingerprint)
		t.resolveHolder(e.Addr)
		t.version++
	}
}

func (t *Table) setClock(clock time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = clock
}

// snapshot returns copies of the entries, or nil if the table still has the given
// version.
func (t *Table) snapshot(version uint64) (entries []entry, unreachable map[string]bool, now uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.version == version {
		return nil, nil, version
	}
	entries = make([]entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, *e)
	}
	return entries, maps.Clone(t.unreachable), t.version
}
