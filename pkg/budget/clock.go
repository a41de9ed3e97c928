package budget

import "time"

const (
	// maxGap is the longest time that is counted between two clock readings. A
	// longer interval may be a clock step, so the rest of it is not counted. The
	// window keeps each message for maxGap longer than one second, so that the
	// limit holds with one clock step of any size per second.
	maxGap = 2 * sliceDuration
	// maxLateReadings is the number of consecutive late readings after which the
	// clock is taken to have stepped back. Fewer come from concurrent callers that
	// were paused after they read the clock. Accepting such a reading would count
	// the interval up to the present twice.
	maxLateReadings = 16
)

// clock converts readings that may step into an elapsed time that runs at most as
// fast as real time, except for up to maxGap at each forward step.
type clock struct {
	elapsed         time.Duration
	last            time.Time
	consecutiveLate int
}

func (c *clock) advance(now time.Time) time.Duration {
	if c.last.IsZero() {
		c.last = now
	}
	gap := now.Sub(c.last)
	switch {
	case gap >= 0:
		c.elapsed += min(gap, maxGap)
		c.last, c.consecutiveLate = now, 0
	case gap >= -maxGap:
		c.consecutiveLate = 0
	case c.consecutiveLate < maxLateReadings:
		c.consecutiveLate++
	default:
		c.last, c.consecutiveLate = now, 0
	}
	return c.elapsed
}
