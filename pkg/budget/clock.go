package budget

import "time"

const (
	// maxGap is the longest time that one interval between two readings counts
	// for. A longer interval may be a clock step, so the rest of it earns
	// nothing. The window holds each message for maxGap beyond one second,
	// which keeps the budget exact with one step of any size a second.
	maxGap = 2 * slice
	// lateReadings in a row mean that the clock stepped back. Fewer come from
	// concurrent callers that were paused after they read the clock; following
	// such a reading would count the interval back to the present twice.
	lateReadings = 16
)

// clock turns readings that may step into a duration that never runs faster
// than real time, but for maxGap at each forward step.
type clock struct {
	elapsed time.Duration
	last    time.Time
	late    int
}

func (c *clock) advance(now time.Time) time.Duration {
	if c.last.IsZero() {
		c.last = now
	}
	gap := now.Sub(c.last)
	switch {
	case gap >= 0:
		c.elapsed += min(gap, maxGap)
		c.last, c.late = now, 0
	case gap >= -maxGap:
		c.late = 0
	case c.late < lateReadings:
		c.late++
	default:
		c.last, c.late = now, 0
	}
	return c.elapsed
}
