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
	// cut holds the regions that this node cannot reach.
	cut map[string]bool
	// pending holds the view of changed members before the change; nil means
	// that the member was not visible.
	pending map[string]*Member
	// sums is the XOR of the entries' hashes in each bucket.
	sums [Buckets]uint32
	// marks finds the ID of an entry by its mark.
	marks map[uint64]string
	// version grows with each change that is visible outside.
	version uint64
	// clock is the time that the protocol counts; it stamps tombstones.
	clock time.Duration
}

// entry is one record. The record is replaced, never modified, so that views
// can share it.
type entry struct {
	*Member
	// place is the position on the ring of monitors.
	place uint64
	// replaced means that another ID has the address with a newer incarnation.
	replaced bool
	// since is when the record became dead or replaced.
	since time.Duration
	// sum is the part of the entry in the digest; zero for tombstones.
	sum uint32
	// mark names the record in news of deaths.
	mark uint64
}

func (e *entry) tombstone() bool { return e.replaced || e.State == StateDead }

// Merge adds a record and reports whether the table changed.
func (t *Table) Merge(m Member) bool {
	if m.ID == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(m.normal())
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
	t.touch(m.ID)
	before := *old.Member
	old.Member = &merged
	if before.Addr != merged.Addr {
		old.replaced = false // settle decides for the new address
	}
	if before.Addr != merged.Addr || before.Incarnation != merged.Incarnation {
		t.settle(before.Addr)
		t.settle(merged.Addr)
	}
	if merged.State == StateDead && before.State != StateDead {
		old.since = t.clock
	}
	t.resum(old)
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
	t.touch(m.ID)
	e := &entry{Member: &m, place: xxhash.Sum64String(m.ID), since: t.clock}
	t.entries[m.ID] = e
	t.settle(m.Addr)
	t.resum(e)
	t.version++
}

// settle decides which member holds an address: the newest incarnation. It is
// a function of the records alone, so the order of merges does not matter.
func (t *Table) settle(addr string) {
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
		t.touch(id)
		e.replaced, e.since = e != holder, t.clock
		t.resum(e)
		t.version++
	}
}

func newerHolder(a, b *entry) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.ID > b.ID
}

// view returns what the embedding program sees of an entry, and whether it
// sees the member at all.
func (t *Table) view(e *entry) (Member, bool) {
	if e == nil || e.tombstone() {
		return Member{}, false
	}
	m := *e.Member
	if t.cut[m.Region] {
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

// Members returns all visible members in no order.
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

// record returns the stored record, also of a tombstone.
func (t *Table) record(id string) (m Member, tombstone, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[id]
	if e == nil {
		return Member{}, false, false
	}
	return *e.Member, e.tombstone(), true
}

// holder returns the highest incarnation seen at the address under any ID.
func (t *Table) holder(addr string) uint64 {
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

// setCut changes whether the members of a region are unreachable.
func (t *Table) setCut(region string, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.Region == region {
			t.touch(id)
		}
	}
	if t.cut == nil {
		t.cut = make(map[string]bool)
	}
	t.cut[region] = cut
	t.version++
}

// forget drops the entries for which drop returns true.
func (t *Table) forget(drop func(e *entry) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !drop(e) {
			continue
		}
		t.touch(id)
		t.sums[bucket(e)] ^= e.sum
		delete(t.entries, id)
		delete(t.marks, e.mark)
		t.settle(e.Addr)
		t.version++
	}
}

func (t *Table) setClock(clock time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clock = clock
}

// snapshot copies the entries if the version is not the given one.
func (t *Table) snapshot(version uint64) (entries []entry, cut map[string]bool, now uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.version == version {
		return nil, nil, version
	}
	entries = make([]entry, 0, len(t.entries))
	for _, e := range t.entries {
		entries = append(entries, *e)
	}
	return entries, maps.Clone(t.cut), t.version
}
