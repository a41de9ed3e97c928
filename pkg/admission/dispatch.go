package admission

import "time"

func (q *Queue) dispatch(now time.Time, buf []Entry) []Entry {
	if now.Before(q.pausedUntil) {
		return buf
	}
	for usable := q.usable(now); q.inFlight < usable && q.scheduler.queued > 0; {
		i := q.scheduler.pick(&q.table)
		if deadlinePassed(q.table.records[i].deadline, now) {
			q.expire(i)
			continue
		}
		q.scheduler.unlink(&q.table, i)
		q.start(i, now)
		buf = append(buf, q.table.entry(i))
	}
	return buf
}

func (q *Queue) start(i int32, now time.Time) {
	r := &q.table.records[i]
	r.state, r.started = running, q.micros(now)
	q.started += r.started
	q.inFlight++
	q.stats.Started++
}

func (q *Queue) stop(i int32) {
	q.started -= q.table.records[i].started
	q.inFlight--
	q.table.remove(i)
}

// expire removes a queued entry from its flow and keeps its record until Tick
// reports it.
func (q *Queue) expire(i int32) {
	q.scheduler.unlink(&q.table, i)
	q.table.records[i].state = overdue
	q.overdue = append(q.overdue, q.table.entry(i))
	q.stats.Expired++
}

// micros returns the time since the first use. With microseconds the sum over all
// running records stays within 64 bits for centuries.
func (q *Queue) micros(now time.Time) int64 {
	if q.origin.IsZero() {
		q.origin = now
	}
	return now.Sub(q.origin).Microseconds()
}

func (q *Queue) totalSlots() int {
	if q.slots == 0 {
		return DefaultSlots
	}
	return q.slots - 1
}

func (q *Queue) usable(now time.Time) int { return q.ramp.usable(q.totalSlots(), now) }

// latency returns the mean service time, or the mean age of the running requests if
// that is greater. A server that stalls finishes no requests, so only their ages
// show it.
func (q *Queue) latency(now time.Time) time.Duration {
	if q.inFlight == 0 {
		return q.service.mean
	}
	age := q.micros(now) - q.started/int64(q.inFlight)
	return max(q.service.mean, time.Duration(age)*time.Microsecond)
}
