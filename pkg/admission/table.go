package admission

import "time"

type state uint8

const (
	free state = iota
	queued
	running
	// overdue entries passed their deadline in the queue and are reported by the
	// next Tick.
	overdue
)

const none = int32(-1)

// record is the state of one entry. Records are reused; the generation distinguishes
// an ended entry from the next one in its place.
type record struct {
	generation uint32
	state      state
	cost       int32
	flow       int32
	next, prev int32 // neighbors in the flow's list, or next in the free list
	started    int64 // microseconds since the queue's origin
	deadline   time.Time
	waiter     any
}

// table holds all entries. Its size is bounded by the slots and the queue length.
type table struct {
	records []record
	unused  int32 // head of the free list plus one, so that zero is empty
}

func (t *table) add(request Request) int32 {
	i := t.unused - 1
	if i < 0 {
		t.records = append(t.records, record{})
		i = int32(len(t.records) - 1)
	} else {
		t.unused = t.records[i].next
	}
	r := &t.records[i]
	*r = record{
		generation: r.generation + 1,
		cost:       int32(min(max(request.Cost, 1), MaxCost)),
		next:       none, prev: none,
		deadline: request.Deadline,
		waiter:   request.Waiter,
	}
	if r.generation == 0 {
		r.generation = 1
	}
	return i
}

func (t *table) remove(i int32) {
	r := &t.records[i]
	*r = record{generation: r.generation, next: t.unused}
	t.unused = i + 1
}

func (t *table) entry(i int32) Entry {
	r := &t.records[i]
	return Entry{index: uint32(i), generation: r.generation, Waiter: r.waiter}
}

// find returns the record of a live entry.
func (t *table) find(e Entry) (int32, *record) {
	if e.generation == 0 || int64(e.index) >= int64(len(t.records)) {
		return none, nil
	}
	r := &t.records[e.index]
	if r.state == free || r.generation != e.generation {
		return none, nil
	}
	return int32(e.index), r
}
