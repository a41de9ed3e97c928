package admission

import "slices"

// flow is the queue of one tenant on one level.
type flow struct {
	tenant     string
	level      Level
	head, tail int32
	count      int
	weight     int32
	deficit    int32
}

type flowKey struct {
	level  Level
	tenant string
}

// turns is the deficit round robin of one level.
//
// Invariant: active lists the flows of the level that are not empty.
type turns struct {
	active []int32
	turn   int
	// granted tells that the flow in turn got its quantum.
	granted bool
	queued  int
}

func (t *turns) remove(f int32) {
	i := slices.Index(t.active, f)
	t.active = slices.Delete(t.active, i, i+1)
	switch {
	case i < t.turn:
		t.turn--
	case i == t.turn:
		t.granted = false
	}
	if t.turn >= len(t.active) {
		t.turn = 0
	}
}

// lists holds the queued entries by level and tenant.
type lists struct {
	flows  []flow
	unused []int32
	byKey  map[flowKey]int32
	levels [levels]turns
	queued int
}

func (l *lists) flowOf(k flowKey) *flow {
	if i, ok := l.byKey[k]; ok {
		return &l.flows[i]
	}
	return nil
}

func (l *lists) open(k flowKey, weight int) int32 {
	if i, ok := l.byKey[k]; ok {
		return i
	}
	if l.byKey == nil {
		l.byKey = make(map[flowKey]int32)
	}
	f := flow{tenant: k.tenant, level: k.level, head: none, tail: none, weight: int32(weight)}
	var i int32
	if n := len(l.unused); n > 0 {
		i, l.unused = l.unused[n-1], l.unused[:n-1]
		l.flows[i] = f
	} else {
		i = int32(len(l.flows))
		l.flows = append(l.flows, f)
	}
	l.byKey[k] = i
	l.levels[k.level].active = append(l.levels[k.level].active, i)
	return i
}

func (l *lists) push(t *table, i int32, k flowKey, weight int) {
	n := l.open(k, weight)
	f, r := &l.flows[n], &t.records[i]
	r.state, r.flow, r.prev, r.next = queued, n, f.tail, none
	if f.tail != none {
		t.records[f.tail].next = i
	} else {
		f.head = i
	}
	f.tail = i
	f.count++
	l.levels[k.level].queued++
	l.queued++
}

// unlink takes an entry out of its flow and drops a flow that is empty.
func (l *lists) unlink(t *table, i int32) {
	r := &t.records[i]
	f := &l.flows[r.flow]
	if r.prev != none {
		t.records[r.prev].next = r.next
	} else {
		f.head = r.next
	}
	if r.next != none {
		t.records[r.next].prev = r.prev
	} else {
		f.tail = r.prev
	}
	f.count--
	l.levels[f.level].queued--
	l.queued--
	if f.count > 0 {
		return
	}
	l.levels[f.level].remove(r.flow)
	delete(l.byKey, flowKey{f.level, f.tenant})
	l.unused = append(l.unused, r.flow)
}

// pick returns the next entry by level and deficit round robin, still queued.
// The caller has checked that one is queued.
func (l *lists) pick(t *table) int32 {
	n := 0
	for l.levels[order[n]].queued == 0 {
		n++
	}
	level := &l.levels[order[n]]
	for {
		f := &l.flows[level.active[level.turn]]
		if !level.granted {
			f.deficit += f.weight
			level.granted = true
		}
		if r := &t.records[f.head]; r.cost <= f.deficit {
			f.deficit -= r.cost
			return f.head
		}
		level.turn = (level.turn + 1) % len(level.active)
		level.granted = false
	}
}

// victim returns the newest entry of the longest flow on the lowest level in
// use, if an entry for key has more right to its place.
func (l *lists) victim(k flowKey) (int32, bool) {
	n := levels - 1
	for n > 0 && l.levels[order[n]].queued == 0 {
		n--
	}
	var longest *flow
	for _, i := range l.levels[order[n]].active {
		if f := &l.flows[i]; longest == nil || f.count > longest.count {
			longest = f
		}
	}
	switch {
	case longest == nil || n < rank[k.level]:
		return none, false
	case n > rank[k.level]:
		return longest.tail, true
	}
	own := 0
	if f := l.flowOf(k); f != nil {
		own = f.count
	}
	return longest.tail, longest.count > own+1
}

// ahead estimates how many queued entries start before a new one for key: all
// of the levels before, and on its own level as many of each tenant as the
// round robin serves until the new one's turn.
func (l *lists) ahead(k flowKey) int {
	n := 0
	for _, level := range order[:rank[k.level]] {
		n += l.levels[level].queued
	}
	own, others := 0, len(l.levels[k.level].active)
	if f := l.flowOf(k); f != nil {
		own, others = f.count, others-1
	}
	return n + min(l.levels[k.level].queued, own+(own+1)*others)
}
