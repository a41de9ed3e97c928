package slots

import "time"

// Limit finds the concurrency with the highest throughput. Some servers slow down
// when nearly all of their slots are busy, so that the last slots cost more than
// they add. Others do not, and a limit below their slots would waste capacity.
//
// Load pattern: overload for seconds. With a slowdown of 1.7 above four fifths of
// the slots, twelve busy slots have the throughput of seven, and the queue of a
// server that admits twelve requests never empties again.
//
// The limit compares the durations of runs by the number of requests that ran when
// they started, corrected for the host's slowdown and for the kind of request. Runs
// of other servers of the service are included, because one server finishes too few
// runs for a significant result within the seconds that an overload lasts.
type Limit struct {
	slots, limit int
	knee, others knee
}

// PoolInterval is how often SetOthers should be called. It is short because an
// overload lasts for seconds.
const PoolInterval = time.Second

// SetSlots sets the number of slots that the server reports.
func (l *Limit) SetSlots(n int) {
	if n == l.slots || n <= 0 {
		return
	}
	*l = Limit{slots: n, limit: n}
}

// Slots returns the number of slots that the server reports.
func (l *Limit) Slots() int { return l.slots }

// Current returns the concurrency limit. It is at least 1 once the slots are known.
func (l *Limit) Current() int { return l.limit }

const (
	// suggestedSlowdown, suggestedRuns and suggestedNoise are the ratio above the
	// limit, the number and the variance of the runs that are assumed for a
	// suggested limit.
	suggestedSlowdown = 1.7
	suggestedRuns     = 40
	suggestedNoise    = 0.2
)

// Suggest sets a starting limit that an earlier process or other servers of the
// service have found. Observed runs gradually replace it.
func (l *Limit) Suggest(n int) {
	if n <= 0 || n >= l.slots || l.limit != l.slots || l.knee != (knee{}) {
		return
	}
	at := levelOf(n, l.slots)
	l.knee[at] = level{suggestedRuns, 1, suggestedNoise}
	for i := at + 1; i <= levelOf(l.slots, l.slots); i++ {
		l.knee[i] = level{suggestedRuns, suggestedSlowdown, suggestedNoise}
	}
	l.limit = n
}

// Observe records a run whose duration was ratio times the mean of its kind, and
// that started when n requests were running, itself included.
func (l *Limit) Observe(n int, ratio float64) {
	if l.slots == 0 || n < 1 || ratio <= 0 {
		return
	}
	l.knee.add(n, l.slots, ratio)
	l.limit = l.knee.limit(l.slots, &l.others)
}

// Summary returns the statistics to send to other nodes of the service.
func (l *Limit) Summary() Summary { return l.knee.summary() }

// SetOthers replaces the summaries of other servers of the service.
func (l *Limit) SetOthers(all []Summary) {
	l.others = knee{}
	for _, s := range all {
		l.others.merge(s)
	}
	if l.slots > 0 && l.knee != (knee{}) {
		l.limit = l.knee.limit(l.slots, &l.others)
	}
}
