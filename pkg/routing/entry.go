package routing

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

const (
	// reportDecay is the age at which half of a report's distance from the
	// mean load counts: other nodes act on the same report meanwhile.
	reportDecay = 50 * time.Millisecond
	// spread is the error of the estimated load, in requests: below it a
	// nearly full server already counts as one where a wait is likely.
	spread = 3
	// noise is the ratio of latencies up to which two servers count as equally
	// fast. The smoothed latency varies by about a fifth on its own.
	noise = 1.5
	// refusal is the time for which a refusal keeps a server out of choice.
	refusal = 50 * time.Millisecond
)

// entry is what the node knows about one server. Instants are time since the
// table's epoch.
type entry struct {
	Server
	locality locality
	// link is the round trip to the server.
	link time.Duration
	// slots is the announced or reported number times the weight, above 0.
	slots float64
	// own is the number of this node's requests in flight, at least 0.
	own int
	// reported is the load of the newest report, read at observed; observed
	// is negative when there was none.
	reported float64
	observed time.Duration
	// sent is the number of own requests in flight since the newest report, at
	// most own.
	sent int
	// pace measures the latency of own requests; usual is the run time derived
	// from it over a longer time, in nanoseconds, 0 before the first answer.
	pace  pace
	usual float64
	// told is the run time in nanoseconds that the far node reports; 0 means
	// unknown.
	told float64
	// failing is the smoothed share of failures, in [0, 1].
	failing float64
	// sampled is the instant of the newest answer, failure or reported latency.
	sampled time.Duration
	// heard is the last answer, or the pick that ended an idle period.
	heard time.Duration
	// refusing is the instant until which the server refuses work.
	refusing time.Duration
	// added is the instant of the first Upsert; warm servers skip slow start.
	added    time.Duration
	warm     bool
	draining bool
	subset   bool
	probed   time.Duration
	health   outlier.Record
}

// load estimates the requests running and queued at the server.
func (e *entry) load(p *pool, at time.Duration) float64 {
	n := p.mean[e.locality] * e.slots
	if e.observed >= 0 {
		age := float64(at-e.observed) / float64(reportDecay)
		n += (e.reported - n) / (1 + age)
	}
	return max(n+float64(e.sent), float64(e.own))
}

// runTime estimates the time the server takes to run a request, in
// nanoseconds. Estimates within the noise count as the peers' median. Requests
// in flight without any answer for long show a stall before the first slow
// answer does.
func (e *entry) runTime(p *pool, load float64, at time.Duration) float64 {
	est := max(e.measured(p, load, at), e.told)
	if e.own > 0 {
		est = max(est, float64(at-e.heard-e.link))
	}
	if est < noise*p.median {
		return p.median
	}
	return est
}

// measured derives the run time in nanoseconds from own requests: their
// latency without link and expected wait.
func (e *entry) measured(p *pool, load float64, at time.Duration) float64 {
	other := float64(e.link) + e.wait(p, load)
	prior := e.usual
	if prior == 0 {
		prior = p.median
	}
	return e.pace.estimate(e.own, prior+other, at) - other
}

// expected estimates the time to an answer in nanoseconds.
func (e *entry) expected(p *pool, at time.Duration) float64 {
	load := e.load(p, at)
	run := e.runTime(p, load, at)
	slots := e.slots * e.ramp(p.config.SlowStart, at)
	over := excess(load + 1 - slots)
	t := float64(e.link) + run + run*over/slots + e.failing*penalty*p.median
	if at < e.refusing {
		t += float64(time.Second)
	}
	return t
}

// excess is the expected positive part of a load whose error is spread.
func excess(x float64) float64 {
	switch {
	case x >= spread:
		return x
	case x <= -spread:
		return 0
	default:
		return (x + spread) * (x + spread) / (4 * spread)
	}
}

// ramp is the share of slots open to a cold server.
func (e *entry) ramp(slowStart, at time.Duration) float64 {
	if e.warm {
		return 1
	}
	share := float64(at-e.added) / float64(slowStart)
	if share >= 1 {
		e.warm = true
		return 1
	}
	return max(share, 0.1)
}
