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

// roundRobin is the deficit round robin of one level.
//
// Invariant: active lists the flows of the level that are not empty.
type roundRobin struct {
	active []int32
	turn   int
	// granted is set if the current flow has received its quantum.
	granted bool
	queued  int
}

func (rr *roundRobin) remove(f int32) {
	i := slices.Index(rr.active, f)
	rr.active = slices.Delete(rr.active, i, i+1)
	switch {
	case i < rr.turn:
		rr.turn--
	case i == rr.turn:
		rr.granted = false
	}
	if rr.turn >= len(rr.active) {
		rr.turn = 0
	}
}

// scheduler holds the queued entries by level and tenant.
type scheduler struct {
	flows  []flow
	unused []int32
	byKey  map[flowKey]int32
	levels [levels]roundRobin
	queued int
}

func (s *scheduler) flowOf(k flowKey) *flow {
	if i, ok := s.byKey[k]; ok {
		return &s.flows[i]
	}
	return nil
}

func (s *scheduler) openFlow(k flowKey, weight int) int32 {
	if i, ok := s.byKey[k]; ok {
		return i
	}
	if s.byKey == nil {
		s.byKey = make(map[flowKey]int32)
	}
	f := flow{tenant: k.tenant, level: k.level, head: none, tail: none, weight: int32(weight)}
	var i int32
	if n := len(s.unused); n > 0 {
		i, s.unused = s.unused[n-1], s.unused[:n-1]
		s.flows[i] = f
	} else {
		i = int32(len(s.flows))
		s.flows = append(s.flows, f)
	}
	s.byKey[k] = i
	s.levels[k.level].active = append(s.levels[k.level].active, i)
	return i
}

func (s *scheduler) push(t *table, i int32, k flowKey, weight int) {
	n := s.openFlow(k, weight)
	f, r := &s.flows[n], &t.records[i]
	r.state, r.flow, r.prev, r.next = queued, n, f.tail, none
	if f.tail != none {
		t.records[f.tail].next = i
	} else {
		f.head = i
	}
	f.tail = i
	f.count++
	s.levels[k.level].queued++
	s.queued++
}

// unlink removes an entry from its flow and drops the flow if it is empty.
func (s *scheduler) unlink(t *table, i int32) {
	r := &t.records[i]
	f := &s.flows[r.flow]
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
	s.levels[f.level].queued--
	s.queued--
	if f.count > 0 {
		return
	}
	s.levels[f.level].remove(r.flow)
	delete(s.byKey, flowKey{f.level, f.tenant})
	s.unused = append(s.unused, r.flow)
}

// pick returns the next entry by level and deficit round robin, and leaves it
// queued. At least one entry must be queued.
func (s *scheduler) pick(t *table) int32 {
	n := 0
	for s.levels[order[n]].queued == 0 {
		n++
	}
	level := &s.levels[order[n]]
	for {
		f := &s.flows[level.active[level.turn]]
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

// victim returns the newest entry of the longest flow on the lowest level in use, if
// an entry for key takes precedence over it.
func (s *scheduler) victim(k flowKey) (int32, bool) {
	n := levels - 1
	for n > 0 && s.levels[order[n]].queued == 0 {
		n--
	}
	var longest *flow
	for _, i := range s.levels[order[n]].active {
		if f := &s.flows[i]; longest == nil || f.count > longest.count {
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
	if f := s.flowOf(k); f != nil {
		own = f.count
	}
	return longest.tail, longest.count > own+1
}

// ahead estimates how many queued entries start before a new one for key: all of the
// levels before its own, and on its own level as many of each tenant as the round
// robin serves before the new one.
func (s *scheduler) ahead(k flowKey) int {
	n := 0
	for _, level := range order[:rank[k.level]] {
		n += s.levels[level].queued
	}
	own, others := 0, len(s.levels[k.level].active)
	if f := s.flowOf(k); f != nil {
		own, others = f.count, others-1
	}
	return n + min(s.levels[k.level].queued, own+(own+1)*others)
}
