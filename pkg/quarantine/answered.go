package quarantine

import "time"

const (
	// answeredTime is how long an answer speaks for a request. Content that crashes
	// servers crashes each one, so it has no answer.
	answeredTime = time.Minute
	// answeredSlots bounds the memory to 32 KB; a node sees some dozen popular
	// lookups in a minute.
	answeredSlots = 1 << 10
)

// answered remembers which requests a server has answered. Of two requests that
// fall into one slot the later one is kept.
type answered struct {
	slots []answer
}

type answer struct {
	print Fingerprint
	at    time.Time
}

func (a *answered) add(p Fingerprint, now time.Time) {
	if a.slots == nil {
		a.slots = make([]answer, answeredSlots)
	}
	a.slots[p%answeredSlots] = answer{p, now}
}

func (a *answered) has(p Fingerprint, now time.Time) bool {
	if a.slots == nil {
		return false
	}
	s := a.slots[p%answeredSlots]
	return s.print == p && !s.at.IsZero() && now.Sub(s.at) < answeredTime
}
