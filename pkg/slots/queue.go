package slots

import "time"

func (l *Limiter) hasQueued(priority int) bool {
	return len(l.queue) > 0 && !l.queue[0].late && l.queue[0].Priority <= priority
}

// insert keeps the queue in order: requests that can meet their objective before
// late ones, then by priority, then by arrival.
func (l *Limiter) insert(run *Run) {
	i := len(l.queue)
	for i > 0 && run.before(l.queue[i-1]) {
		i--
	}
	l.queue = append(l.queue, nil)
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = run
}

func (r *Run) before(other *Run) bool {
	if r.late != other.late {
		return other.late
	}
	return r.Priority < other.Priority
}

// evict refuses the last queued request to make room for a more urgent one.
func (l *Limiter) evict(priority int) bool {
	last := l.queue[len(l.queue)-1]
	if !last.late && last.Priority <= priority {
		return false
	}
	l.queue = l.queue[:len(l.queue)-1]
	last.waiting = false
	last.Wake(false)
	return true
}

func (l *Limiter) remove(run *Run) {
	for i, r := range l.queue {
		if r == run {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			run.waiting = false
			return
		}
	}
}

// Tick starts queued requests that can run and refuses those that can no longer meet
// their objective.
func (l *Limiter) Tick(now time.Time) {
	queue := l.queue
	l.queue = nil
	var expired []*Run
	for _, r := range queue {
		if l.keepsWaiting(r, now) {
			l.insert(r)
		} else {
			r.waiting = false
			expired = append(expired, r)
		}
	}
	for len(l.queue) > 0 && l.canStart(l.queue[0], now) {
		next := l.queue[0]
		l.queue = l.queue[1:]
		l.start(next, now)
		next.Wake(true)
	}
	for _, r := range expired {
		started := !l.closed && !l.Slowdown.Slow(now) && l.lateSlotFree(now)
		if started {
			l.start(r, now)
		}
		r.Wake(started)
	}
}

// keepsWaiting reports whether a run should stay queued.
func (l *Limiter) keepsWaiting(r *Run, now time.Time) bool {
	work := l.UsualDuration(r.Kind) + r.Transfer
	switch {
	case l.closed:
		return false
	case r.late:
		return now.Before(r.until) && !now.Add(work).After(r.Deadline)
	case now.Add(work).After(r.Objective):
		return l.awaitSlowPeriodEnd(r, work, now)
	default:
		return true
	}
}

// canStart reports whether a queued run may start.
func (l *Limiter) canStart(r *Run, now time.Time) bool {
	if l.Slowdown.Slow(now) {
		return false
	}
	return l.running < l.Limit.Current() && (!r.late || l.lateSlotFree(now))
}
