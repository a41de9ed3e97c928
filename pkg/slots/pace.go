// Package slots decides, at the node beside a backend server, which requests
// run, wait or are turned away. It does no I/O; the caller passes the time.
package slots

import "time"

// Slowdown is how long work takes that begins on a server's host at the moment, as a
// multiple of the usual. Hosts are shared, and the pace changes many times a
// second, so a figure is used only while it is fresh. The zero value is the usual
// pace.
type Slowdown struct {
	factor float64
	seen   time.Time
	// lowest and before are the lowest figures of this window and the one before it.
	lowest, before float64
	window         time.Time
}

const (
	// ProbeInterval is how often the pace is asked while requests come and no answer
	// has told it; spells of slowness last about 150 ms.
	ProbeInterval = 40 * time.Millisecond
	// ProbeRate bounds the probes of a server a second; the platform allows 60.
	ProbeRate = 45
	// ProbeBurst bounds those at once.
	ProbeBurst = 10
	// paceFresh is how long a pace is believed. Slow spells last about 150 ms,
	// and a spell is in its middle on average when it is seen.
	paceFresh = 100 * time.Millisecond
	// startFresh is how old a pace may be for a request that begins: within 8 ms one
	// spell in forty begins.
	startFresh = 8 * time.Millisecond
	// slowPace separates a slow spell from ordinary variation; it is relative to the
	// lowest pace of the last floorTime to twice that.
	slowPace  = 2.0
	floorTime = 400 * time.Millisecond
	// spellTime is how long a spell lasts.
	spellTime = 150 * time.Millisecond
)

// Observe records the pace that the server has just told.
func (p *Slowdown) Observe(factor float64, now time.Time) {
	if factor <= 0 {
		return
	}
	p.factor, p.seen = factor, now
	switch age := now.Sub(p.window); {
	case age >= 2*floorTime:
		// The first figure may be that of a spell.
		p.lowest, p.before, p.window = factor, min(factor, slowPace), now
	case age >= floorTime:
		p.lowest, p.before, p.window = factor, p.lowest, now
	default:
		p.lowest = min(p.lowest, factor)
	}
}

// Baseline returns the pace without spells: 1, or more while the server is slow for
// longer, as after its start.
func (p *Slowdown) Baseline() float64 {
	if p.factor == 0 {
		return 1
	}
	return max(min(p.lowest, p.before), 1)
}

// Factor returns the pace, or 1 when the last figure is too old.
func (p *Slowdown) Factor(now time.Time) float64 {
	if p.factor == 0 || now.Sub(p.seen) > paceFresh {
		return 1
	}
	return p.factor
}

// Slow reports whether the server is in a slow spell.
func (p *Slowdown) Slow(now time.Time) bool { return p.Factor(now) >= slowPace*p.Baseline() }

// Stale reports whether the server tells its pace and the last figure is too old
// for a request that begins.
func (p *Slowdown) Stale(now time.Time) bool { return p.factor > 0 && now.Sub(p.seen) > startFresh }

// Age returns how old the last figure is.
func (p *Slowdown) Age(now time.Time) time.Duration {
	if p.seen.IsZero() {
		return time.Hour
	}
	return now.Sub(p.seen)
}
