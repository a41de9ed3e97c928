// Package admission decides which requests a backend server runs: it counts
// slots, keeps a bounded queue by class and tenant, and refuses early what
// cannot meet its deadline.
package admission

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Queue admits requests to one backend server. The zero value has
// DefaultSlots and the zero Rules.
//
// Invariant: inFlight is the number of running records, and it exceeds the
// usable slots only after these were reduced.
type Queue struct {
	mu       sync.Mutex
	rules    Rules
	table    table
	lists    lists
	lapsed   []Entry
	inFlight int
	// slots is one more than the number set, so that zero means unset.
	slots    int
	draining bool
	paused   time.Time // end of the pause
	ramp     ramp
	service  estimate
	origin   time.Time
	// started sums the start times of all running records.
	started int64
	stats   Stats
}

// SetRules replaces the rules. Entries that are queued keep their place.
func (q *Queue) SetRules(r Rules) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Levels, r.Weights = maps.Clone(r.Levels), maps.Clone(r.Weights)
	q.rules = r
}

// SetSlots sets the number of slots. The next Tick starts queued entries in
// slots that were added.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(n, 0) + 1
}

// SlowStart begins a slow start: one slot is usable at once, all of them after the
// ramp.
func (q *Queue) SlowStart(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ramp = ramp{start: now, length: q.rules.ramp(), first: 1}
}

// Pause starts no request and refuses new ones for d, because the backend
// server shed load. A quarter of the slots is usable afterwards, and all of
// them after a ramp, so that the server is not overrun again.
func (q *Queue) Pause(d time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	end := now.Add(min(max(d, 0), maxPause))
	if end.After(q.paused) {
		q.paused = end
		q.ramp = ramp{start: end, length: q.rules.ramp(), first: max(q.total()/4, 1)}
	}
}

// Drain refuses new requests; queued and running ones finish.
func (q *Queue) Drain() { q.setDraining(true) }

// Resume ends a drain.
func (q *Queue) Resume() { q.setDraining(false) }

func (q *Queue) setDraining(draining bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = draining
}

// Idle reports whether nothing is running or queued.
func (q *Queue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inFlight == 0 && q.lists.queued == 0
}

// Load returns the exact counts and the estimate of the service time.
func (q *Queue) Load(now time.Time) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{
		InFlight: q.inFlight,
		Queued:   q.lists.queued,
		Slots:    q.usable(now),
		Latency:  q.latency(now),
		Refusing: q.draining || now.Before(q.paused),
	}
}

// Stats returns the counters since the start.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}

// Enter asks for a slot. A request with Run or Wait ends with exactly one
// effective Leave or Cancel, or by being returned as expired or evicted.
func (q *Queue) Enter(t Request, now time.Time) (Entry, Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := flowKey{q.rules.level(t.Class), t.Tenant}
	d := q.judge(key, t, now)
	if d.Verdict == Wait {
		d = q.makeRoom(key, d)
	}
	if d.Verdict == Refuse {
		q.stats.Refused[d.Reason]++
		return Entry{}, d
	}
	i := q.table.add(t)
	if d.Verdict == Start {
		q.start(i, now)
	} else {
		q.lists.push(&q.table, i, key, q.rules.weight(t.Tenant))
	}
	return q.table.entry(i), d
}

func (q *Queue) judge(k flowKey, t Request, now time.Time) Decision {
	usable := q.usable(now)
	switch {
	case q.draining:
		return Decision{Reason: Draining}
	case now.Before(q.paused):
		return Decision{Reason: Paused, After: q.paused.Sub(now)}
	case late(t.Deadline, now):
		return Decision{Reason: Late}
	case q.inFlight < usable && q.lists.queued == 0:
		return Decision{Verdict: Start}
	case usable == 0:
		return Decision{Reason: Full}
	}
	wait := q.latency(now) * time.Duration(q.lists.ahead(k)+1) / time.Duration(usable)
	if late(t.Deadline, now.Add(wait)) {
		return Decision{Reason: Late, After: wait}
	}
	return Decision{Verdict: Wait, After: wait}
}

func late(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func (q *Queue) makeRoom(k flowKey, d Decision) Decision {
	if q.lists.queued+len(q.lapsed) < q.rules.bound() {
		return d
	}
	i, ok := q.lists.victim(k)
	if !ok {
		return Decision{Reason: Full, After: d.After}
	}
	d.Evicted = q.table.entry(i)
	q.lists.unlink(&q.table, i)
	q.table.remove(i)
	q.stats.Evicted++
	return d
}

// Leave ends a running entry whose duration counts as a service time, and
// appends to buf the entries that start in its place. An entry that has
// ended, or is still queued, is ignored.
func (q *Queue) Leave(e Entry, now time.Time, buf []Entry) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, r := q.table.find(e)
	if r == nil || r.state != running {
		return buf
	}
	q.service.observe(time.Duration(max(q.micros(now)-r.started, 1)) * time.Microsecond)
	q.stop(i)
	return q.dispatch(now, buf)
}

// Cancel ends an entry in any state without learning from its duration. Use
// it for requests that were given up or failed without work being done. It
// appends to buf the entries that start. An entry that has ended is ignored.
func (q *Queue) Cancel(e Entry, now time.Time, buf []Entry) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, r := q.table.find(e)
	if r == nil {
		return buf
	}
	switch r.state {
	case queued:
		q.lists.unlink(&q.table, i)
		q.table.remove(i)
	case running:
		q.stop(i)
	case lapsed:
		q.lapsed = slices.DeleteFunc(q.lapsed, func(l Entry) bool { return l.index == e.index })
		q.table.remove(i)
	}
	return q.dispatch(now, buf)
}

// Tick is to be called about every 50 ms. It appends to run the
// entries that start because slots became usable, and to expired the queued
// entries whose deadline has passed. These were not run.
func (q *Queue) Tick(now time.Time, run, expired []Entry) (started, lapsed []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run = q.dispatch(now, run)
	for i := range q.table.records {
		if r := &q.table.records[i]; r.state == queued && late(r.deadline, now) {
			q.expire(int32(i))
		}
	}
	for _, e := range q.lapsed {
		q.table.remove(int32(e.index))
	}
	expired = append(expired, q.lapsed...)
	clear(q.lapsed)
	q.lapsed = q.lapsed[:0]
	return run, expired
}
