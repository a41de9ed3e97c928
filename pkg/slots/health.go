package slots

import "time"

// Health follows the share of a server's requests that fail, whatever the server
// says of its own health.
//
// Load pattern: one server of ten sheds, fails or cuts off half of its requests
// while its probes pass. It looks idle, so placement by load prefers it. The node
// beside it sees every result and hands most requests back until trials succeed
// again, so that no other node has to learn it by its own failures.
//
// The zero value is a healthy server.
type Health struct {
	failed  float64
	samples float64
	trial   time.Time
}

const (
	// healthMemory is how many results weigh in the share: a server that has
	// recovered counts as healthy again after about ten good trials.
	healthMemory = 16
	// healthSamples is how many results a judgement needs.
	healthSamples = 6
	// ailingShare is the share of failures from which a server is ailing.
	ailingShare = 0.25
	// trialInterval is how often an ailing server gets a request all the same.
	trialInterval = 100 * time.Millisecond
)

// Observe records whether a request failed.
func (h *Health) Observe(failed bool) {
	h.samples = min(h.samples+1, healthMemory)
	value := 0.0
	if failed {
		value = 1
	}
	h.failed += (value - h.failed) / h.samples
}

// Unhealthy reports whether requests should go elsewhere.
func (h *Health) Unhealthy() bool { return h.samples >= healthSamples && h.failed >= ailingShare }

// FailureRate returns the share of requests that failed.
func (h *Health) FailureRate() float64 { return h.failed }

// Admit reports whether a request that may go elsewhere is taken: always by a
// healthy server, as a trial now and then by an ailing one.
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
