// Package outlier ejects backend servers that fail or are much slower than their
// peers, and returns them to service after successful trial requests.
//
// Only the outcomes of real requests are used. Health endpoints neither eject a
// server nor return it to service, because their results are late or wrong.
package outlier

import "time"

// Config holds the thresholds of the ejection. A zero field selects the default.
type Config struct {
	// MaxEjectedShare is the largest share of a group that may be ejected, in (0,
	// 1]. One server of a group of two or more may always be ejected. The default
	// is 0.2: with a larger share, an overload of all servers ejects servers that
	// are needed.
	MaxEjectedShare float64
	// ConsecutiveFailures is the number of consecutive failures that eject a server;
	// the default is 3.
	ConsecutiveFailures int
	// FailureShare is the smoothed share of failures above which a server is
	// ejected; the default is 0.5.
	FailureShare float64
	// SlowRatio is the ratio of a server's latency to its peers' from which the
	// server counts as slow; the default is 3.
	SlowRatio float64
	// ConsecutiveSlow is the number of consecutive answers above SlowRatio that
	// eject a server; the default is 3.
	ConsecutiveSlow int
	// BaseEjectionTime is the length of the first ejection. It doubles with each
	// failed trial up to MaxEjectionTime. The defaults are 100 ms and 5 s.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// TrialAfterRequests is the number of requests after which a server that was
	// ejected as slow is tried before its ejection time is over, so that trials
	// take a bounded share of the requests at any rate. The default is 500.
	TrialAfterRequests int
	// RequiredTrials is the number of passed trials that end an ejection; the
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
