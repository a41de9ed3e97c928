// Package admission decides which requests a backend server runs. It counts slots,
// keeps a bounded queue by class and tenant, and refuses requests early if they
// cannot meet their deadline.
package admission

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Queue admits requests to one backend server. The zero value has DefaultSlots and
// the zero Rules.
//
// Invariant: inFlight is the number of running records, and it exceeds the usable
// slots only after these were reduced.
type Queue struct {
	mu        sync.Mutex
	rules     Rules
	table     table
	scheduler scheduler
	overdue   []Entry
	inFlight  int
	// slots is one more than the number set, so that zero means unset.
	slots       int
	draining    bool
	pausedUntil time.Time
	ramp        ramp
	service     estimate
	origin      time.Time
	// started sums the start times of all running records.
	started int64
	stats   Stats
}

// SetRules replaces the rules. Queued entries keep their place.
func (q *Queue) SetRules(r Rules) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r.Levels, r.Weights = maps.Clone(r.Levels), maps.Clone(r.Weights)
	q.rules = r
}

// SetSlots sets the number of slots. The next Tick starts queued entries in slots
// that were added.
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

// Pause starts no request and refuses new ones for d, because the backend server
// shed load. Afterwards a quarter of the slots is usable, and all of them after a
// ramp, so that the server is not overloaded again.
func (q *Queue) Pause(d time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	end := now.Add(min(max(d, 0), maxPause))
	if end.After(q.pausedUntil) {
		q.pausedUntil = end
		q.ramp = ramp{start: end, length: q.rules.ramp(), first: max(q.totalSlots()/4, 1)}
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
	return q.inFlight == 0 && q.scheduler.queued == 0
}

// Load returns the exact counts and the estimated service time.
func (q *Queue) Load(now time.Time) Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Load{
		InFlight: q.inFlight,
		Queued:   q.scheduler.queued,
		Slots:    q.usable(now),
		Latency:  q.latency(now),
		Refusing: q.draining || now.Before(q.pausedUntil),
	}
}

// Stats returns the counters since the start.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stats
}

// Enter asks for a slot. A request with Start or Wait ends with exactly one
// effective Leave or Cancel, or by being returned as expired or evicted.
func (q *Queue) Enter(r Request, now time.Time) (Entry, Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := flowKey{q.rules.level(r.Class), r.Tenant}
	d := q.decide(key, r, now)
	if d.Verdict == Wait {
		d = q.makeRoom(key, d)
	}
	if d.Verdict == Refuse {
		q.stats.Refused[d.Reason]++
		return Entry{}, d
	}
	i := q.table.add(r)
	if d.Verdict == Start {
		q.start(i, now)
	} else {
		q.scheduler.push(&q.table, i, key, q.rules.weight(r.Tenant))
	}
	return q.table.entry(i), d
}

func (q *Queue) decide(k flowKey, r Request, now time.Time) Decision {
	usable := q.usable(now)
	switch {
	case q.draining:
		return Decision{Reason: Draining}
	case now.Before(q.pausedUntil):
		return Decision{Reason: Paused, After: q.pausedUntil.Sub(now)}
	case deadlinePassed(r.Deadline, now):
		return Decision{Reason: Late}
	case q.inFlight < usable && q.scheduler.queued == 0:
		return Decision{Verdict: Start}
	case usable == 0:
		return Decision{Reason: Full}
	}
	wait := q.latency(now) * time.Duration(q.scheduler.ahead(k)+1) / time.Duration(usable)
	if deadlinePassed(r.Deadline, now.Add(wait)) {
		return Decision{Reason: Late, After: wait}
	}
	return Decision{Verdict: Wait, After: wait}
}

func deadlinePassed(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func (q *Queue) makeRoom(k flowKey, d Decision) Decision {
	if q.scheduler.queued+len(q.overdue) < q.rules.bound() {
		return d
	}
	i, ok := q.scheduler.victim(k)
	if !ok {
		return Decision{Reason: Full, After: d.After}
	}
	d.Evicted = q.table.entry(i)
	q.scheduler.unlink(&q.table, i)
	q.table.remove(i)
	q.stats.Evicted++
	return d
}

// Leave ends a running entry, counts its duration as a service time and appends to
// buf the entries that start in its place. An entry that has ended, or is still
// queued, is ignored.
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

// Cancel ends an entry in any state without counting its duration. It is meant for
// requests that were cancelled or failed before the server did any work. It appends
// to buf the entries that start. An entry that has ended is ignored.
func (q *Queue) Cancel(e Entry, now time.Time, buf []Entry) []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	i, r := q.table.find(e)
	if r == nil {
		return buf
	}
	switch r.state {
	case queued:
		q.scheduler.unlink(&q.table, i)
		q.table.remove(i)
	case running:
		q.stop(i)
	case overdue:
		q.overdue = slices.DeleteFunc(q.overdue, func(l Entry) bool { return l.index == e.index })
		q.table.remove(i)
	}
	return q.dispatch(now, buf)
}

// Tick must be called about every 50 ms. It appends to run the entries that start
// because slots became usable, and to expired the queued entries whose deadline has
// passed and which did not run.
func (q *Queue) Tick(now time.Time, run, expired []Entry) (started, overdue []Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run = q.dispatch(now, run)
	for i := range q.table.records {
		if r := &q.table.records[i]; r.state == queued && deadlinePassed(r.deadline, now) {
			q.expire(int32(i))
		}
	}
	for _, e := range q.overdue {
		q.table.remove(int32(e.index))
	}
	expired = append(expired, q.overdue...)
	clear(q.overdue)
	q.overdue = q.overdue[:0]
	return run, expired
}
