// Package outlier ejects backend servers that are much slower than their
// peers or that fail, and takes them back after trial requests.
//
// Only outcomes of real requests count. What a health endpoint says neither
// ejects a server nor brings it back, because such endpoints lag or mislead.
package outlier

import "time"

// Config holds the limits of ejection. A zero field means its default.
type Config struct {
	// MaxEjectedShare is the largest share of a group that may be out, in (0, 1].
	// One server of a group of two or more may always be out. The default is
	// 0.2: with more, an overload of all servers ejects those that are needed.
	MaxEjectedShare float64
	// ConsecutiveFailures in a row eject a server; the default is 3.
	ConsecutiveFailures int
	// FailureShare ejects a server whose smoothed share of failures exceeds
	// it; the default is 0.5.
	FailureShare float64
	// SlowRatio is the ratio of a server's latency to its peers' from which the
	// server counts as slow; the default is 3.
	SlowRatio float64
	// ConsecutiveSlow in a row above Slow eject a server; the default is 3.
	ConsecutiveSlow int
	// BaseEjectionTime is the time out after the first ejection. It doubles with each
	// failed trial up to MaxEjectionTime. The defaults are 100 ms and 5 s.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// TrialAfterRequests is the number of requests after which a server that was ejected
	// as slow is tried before its time is over, so that trials cost a bounded
	// share of the requests at any rate; the default is 500.
	TrialAfterRequests int
	// RequiredTrials is the number of good trial requests that end an ejection; the
	// default is 2.
	RequiredTrials int
}

func (c Config) withDefaults() Config {
	setFloat(&c.MaxEjectedShare, 0.2)
	setFloat(&c.FailureShare, 0.5)
	setFloat(&c.SlowRatio, 3)
	setInt(&c.ConsecutiveFailures, 3)
	setInt(&c.ConsecutiveSlow, 3)
	setInt(&c.TrialAfterRequests, 500)
	setInt(&c.RequiredTrials, 2)
	setDuration(&c.BaseEjectionTime, 100*time.Millisecond)
	setDuration(&c.MaxEjectionTime, 5*time.Second)
	return c
}

func setFloat(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}

func setInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}
