package slots

import "time"

// Health tracks the failure rate of a server's requests, independently of the health
// that the server reports.
//
// Load pattern: one server of ten sheds, fails or cuts off half of its requests
// while its health checks pass. It looks idle, so placement by load prefers it. The
// node beside it sees every result and hands most requests back until trial requests
// succeed again, so that the other nodes need not detect it by failures of their
// own.
//
// The zero value is a healthy server.
type Health struct {
	failed  float64
	samples float64
	trial   time.Time
}

const (
	// healthWindow is the number of results that the rate is taken over: a server
	// that has recovered counts as healthy after about ten successful trials.
	healthWindow = 16
	// minHealthSamples is the number of results needed before a server can count as
	// unhealthy.
	minHealthSamples = 6
	// unhealthyRate is the failure rate from which a server is unhealthy.
	unhealthyRate = 0.25
	// trialInterval is how often an unhealthy server still gets a request.
	trialInterval = 100 * time.Millisecond
)

// Observe records whether a request failed.
func (h *Health) Observe(failed bool) {
	h.samples = min(h.samples+1, healthWindow)
	value := 0.0
	if failed {
		value = 1
	}
	h.failed += (value - h.failed) / h.samples
}

// Unhealthy reports whether requests should go to other servers.
func (h *Health) Unhealthy() bool { return h.samples >= minHealthSamples && h.failed >= unhealthyRate }

// FailureRate returns the share of requests that failed.
func (h *Health) FailureRate() float64 { return h.failed }

// Admit reports whether to take a request that other servers could take: always if
// the server is healthy, at intervals as a trial if it is not.
func (h *Health) Admit(now time.Time) bool {
	if !h.Unhealthy() {
		return true
	}
	if now.Sub(h.trial) < trialInterval {
		return false
	}
	h.trial = now
	return true
}
