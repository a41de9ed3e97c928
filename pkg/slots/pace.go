// Package slots decides, at the node beside a backend server, which requests
// run, wait or are turned away. It does no I/O; the caller passes the time.
package slots

import "time"

// Pace is how long work takes on a server's host at the moment, as a multiple
// of the usual. Hosts are shared, and the pace changes many times a second, so
// a figure is used only while it is fresh. The zero value is the usual pace.
type Pace struct {
	factor float64
	seen   time.Time
	// progress is the work done until seen by a task that never paused, in time
	// at the usual pace.
	progress time.Duration
}

const (
	// paceFresh is how long a pace is believed. Slow spells last about 150 ms,
	// and a spell is in its middle on average when it is seen.
	paceFresh = 100 * time.Millisecond
	// slowPace separates a slow spell from ordinary variation.
	slowPace = 2.0
)

// Observe records the pace that the server has just told.
func (p *Pace) Observe(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	p.progress = p.Progress(now)
	p.factor, p.seen = factor, now
}

// Factor returns the pace, or 1 when the last figure is too old.
func (p *Pace) Factor(now time.Time) float64 {
	if p.factor == 0 || now.Sub(p.seen) > paceFresh {
		return 1
	}
	return p.factor
}

// Slow reports whether the server is in a slow spell.
func (p *Pace) Slow(now time.Time) bool { return p.Factor(now) >= slowPace }

// Age returns how old the last figure is.
func (p *Pace) Age(now time.Time) time.Duration {
	if p.seen.IsZero() {
		return time.Hour
	}
	return now.Sub(p.seen)
}

// Progress returns the work that a task could have done until now. The
// difference between two moments is a duration without the noise of the host.
func (p *Pace) Progress(now time.Time) time.Duration {
	if p.seen.IsZero() {
		return 0
	}
	span := now.Sub(p.seen)
	fresh := min(span, paceFresh)
	return p.progress + time.Duration(float64(fresh)/max(p.factor, 1)) + (span - fresh)
}
