// Package outlier ejects backend servers that are much slower than their
// peers or that fail, and takes them back after trial requests.
//
// Only outcomes of real requests count. What a health endpoint says neither
// ejects a server nor brings it back, because such endpoints lag or mislead.
package outlier

import "time"

// Config holds the limits of ejection. A zero field means its default.
type Config struct {
	// MaxShare is the largest share of a group that may be out, in (0, 1].
	// One server of a group of two or more may always be out. The default is
	// 0.2: with more, an overload of all servers ejects those that are needed.
	MaxShare float64
	// Failures in a row eject a server; the default is 3.
	Failures int
	// FailureShare ejects a server whose smoothed share of failures exceeds
	// it; the default is 0.5.
	FailureShare float64
	// Slow is the ratio of a server's latency to its peers' from which the
	// server counts as slow; the default is 3.
	Slow float64
	// SlowAnswers in a row above Slow eject a server; the default is 3.
	SlowAnswers int
	// Base is the time out after the first ejection. It doubles with each
	// failed trial up to Max. The defaults are 100 ms and 5 s.
	Base, Max time.Duration
	// Requests is the number of requests after which a server that was ejected
	// as slow is tried before its time is over, so that trials cost a bounded
	// share of the requests at any rate; the default is 500.
	Requests int
	// Trials is the number of good trial requests that end an ejection; the
	// default is 2.
	Trials int
}

func (c Config) withDefaults() Config {
	setFloat(&c.MaxShare, 0.2)
	setFloat(&c.FailureShare, 0.5)
	setFloat(&c.Slow, 3)
	setInt(&c.Failures, 3)
	setInt(&c.SlowAnswers, 3)
	setInt(&c.Requests, 500)
	setInt(&c.Trials, 2)
	setDuration(&c.Base, 100*time.Millisecond)
	setDuration(&c.Max, 5*time.Second)
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
