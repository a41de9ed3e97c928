package slots

import "time"

// Limit finds the concurrency at which a server does most work. Some servers
// slow down when nearly all of their slots are busy, so that the last slots
// cost more than they give; others do not, and a limit would waste slots.
//
// Load pattern: overload for seconds. With a slowdown of 1.7 above four fifths
// of the slots, twelve busy slots do the work of seven, and the queue of a
// server that admits twelve never empties again.
//
// The limit compares runs by the number of requests that ran when they began,
// freed of the host's pace and of the kind of request. Runs of other servers of
// the service count beside the own ones: one server finishes too few to be sure
// within the seconds that an overload lasts.
type Limit struct {
	slots, limit int
	knee, others knee
}

// PoolInterval is how often SetOthers should be called; an overload lasts for
// seconds.
const PoolInterval = time.Second

// SetSlots sets the number of slots that the server names.
func (l *Limit) SetSlots(n int) {
	if n == l.slots || n <= 0 {
		return
	}
	*l = Limit{slots: n, limit: n}
}

// Slots returns the number of slots that the server names.
func (l *Limit) Slots() int { return l.slots }

// Current returns the concurrency to use; it is at least 1 once slots are known.
func (l *Limit) Current() int { return l.limit }

const (
	// suggestedSlowdown and suggestedRuns stand for the runs that led to a limit
	// which is suggested, and suggestedNoise for their variance.
	suggestedSlowdown = 1.7
	suggestedRuns     = 40
	suggestedNoise    = 0.2
)

// Suggest starts from a limit that was found before, by an earlier process or
// for other servers of the service. Runs replace it as they come.
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

// Observe records a run whose duration was ratio times the usual one of its
// kind, and that began when n requests ran, itself included.
func (l *Limit) Observe(n int, ratio float64) {
	if l.slots == 0 || n < 1 || ratio <= 0 {
		return
	}
	l.knee.add(n, l.slots, ratio)
	l.limit = l.knee.limit(l.slots, &l.others)
}

// Summary returns what other nodes of the service should know.
func (l *Limit) Summary() Summary { return l.knee.summary() }

// SetOthers takes the newest summaries of other servers of the service.
func (l *Limit) SetOthers(all []Summary) {
	l.others = knee{}
	for _, s := range all {
		l.others.merge(s)
	}
	if l.slots > 0 && l.knee != (knee{}) {
		l.limit = l.knee.limit(l.slots, &l.others)
	}
}
