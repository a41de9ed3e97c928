// Package slots decides, on the node beside a backend server, which requests run,
// are queued, handed back or refused. It does no I/O; the caller passes the time.
package slots

import "time"

// Slowdown is the factor by which requests that start on a server's host now take
// longer than usual. Hosts are shared and the factor changes many times a second, so
// a figure is used only while it is fresh. The zero value is a factor of 1.
type Slowdown struct {
	factor float64
	seen   time.Time
	// lowest and previousLowest are the lowest factors of this window and the one
	// before.
	lowest, previousLowest float64
	window                 time.Time
	// slowSince is when the current slow period was first observed; zero outside slow
	// periods.
	slowSince time.Time
	// lengths is the mean length of the slow periods observed so far.
	lengths mean
}

const (
	// ProbeInterval is how often a server is probed for its slowdown while requests
	// arrive and no answer has reported it. Slow periods last about 150 ms.
	ProbeInterval = 40 * time.Millisecond
	// ProbeRate is the maximum number of probes per second; the platform allows 60.
	ProbeRate = 45
	// ProbeBurst is the maximum number of probes at once.
	ProbeBurst = 10
	// maxAge is how long a factor is used. A slow period lasts about 150 ms and is
	// half over, on average, when it is observed.
	maxAge = 100 * time.Millisecond
	// maxStartAge is the maximum age of a factor when a request starts: one slow
	// period in forty begins within 8 ms.
	maxStartAge = 8 * time.Millisecond
	// slowThreshold separates a slow period from ordinary variation. It is a
	// multiple of the lowest factor of the last one to two baseline windows.
	slowThreshold = 2.0
	// baselinePeriods is the length of a baseline window in slow periods. A slow period
	// may follow another, and a window that lies within a series of them would take the
	// slow server for a usual one.
	baselinePeriods = 6
	// defaultSlowPeriod is the assumed length of a slow period until minSlowPeriods of
	// them were observed, and maxSlowPeriod the greatest length that counts: a server
	// that is slow for longer is slow for another reason.
	defaultSlowPeriod = 150 * time.Millisecond
	maxSlowPeriod     = 2 * time.Second
	minSlowPeriods    = 3
	// minRemaining is the least time that a slow period is expected to go on, as a
	// share of the usual length.
	minRemaining = 0.25
)

// Observe records the factor that the server reported.
func (s *Slowdown) Observe(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	gap := now.Sub(s.seen)
	s.factor, s.seen = factor, now
	s.updateBaseline(factor, now)
	slow := s.Slow(now)
	switch {
	case slow && (s.slowSince.IsZero() || gap > maxAge):
		s.slowSince = now
	case !slow && !s.slowSince.IsZero():
		if length := now.Sub(s.slowSince); gap <= maxAge && length <= maxSlowPeriod {
			s.lengths.add(float64(length))
		}
		s.slowSince = time.Time{}
	}
}

func (s *Slowdown) updateBaseline(factor float64, now time.Time) {
	window := baselinePeriods * s.Period()
	switch age := now.Sub(s.window); {
	case age >= 2*window:
		// The first factor may have been reported in a slow period.
		s.lowest, s.previousLowest, s.window = factor, min(factor, slowThreshold), now
	case age >= window:
		s.lowest, s.previousLowest, s.window = factor, s.lowest, now
	default:
		s.lowest = min(s.lowest, factor)
	}
}

// Baseline returns the factor outside slow periods. It is at least 1, and greater
// while the server is slow for longer, for example after its start.
func (s *Slowdown) Baseline() float64 {
	if s.factor == 0 {
		return 1
	}
	return max(min(s.lowest, s.previousLowest), 1)
}

// Factor returns the current factor, or 1 if the last one is too old.
func (s *Slowdown) Factor(now time.Time) float64 {
	if s.factor == 0 || now.Sub(s.seen) > maxAge {
		return 1
	}
	return s.factor
}

// Period returns the usual length of a slow period.
func (s *Slowdown) Period() time.Duration {
	if s.lengths.samples < minSlowPeriods {
		return defaultSlowPeriod
	}
	return time.Duration(s.lengths.value)
}

// Remaining returns how much longer the current slow period is expected to last; zero
// outside slow periods.
func (s *Slowdown) Remaining(now time.Time) time.Duration {
	if !s.Slow(now) || s.slowSince.IsZero() {
		return 0
	}
	period := s.Period()
	return max(period-now.Sub(s.slowSince), time.Duration(minRemaining*float64(period)))
}

// Slow reports whether the server is in a slow period.
func (s *Slowdown) Slow(now time.Time) bool { return s.Factor(now) >= slowThreshold*s.Baseline() }

// Stale reports whether the server reports its slowdown and the last factor is too
// old to start a request.
func (s *Slowdown) Stale(now time.Time) bool { return s.factor > 0 && now.Sub(s.seen) > maxStartAge }

// Age returns the age of the last factor.
func (s *Slowdown) Age(now time.Time) time.Duration {
	if s.seen.IsZero() {
		return time.Hour
	}
	return now.Sub(s.seen)
}
