package routing

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

const (
	// reportDecay is the age at which only half of a report's distance from the mean
	// load is used, since other nodes act on the same report in the meantime.
	reportDecay = 50 * time.Millisecond
	// loadError is the error of the estimated load, in requests. A server with fewer
	// free slots is treated as one where a wait is likely.
	loadError = 3
	// runTimeNoise is the ratio of run times up to which two servers count as
	// equally fast. The smoothed latency of a steady server varies by about a
	// fifth.
	runTimeNoise = 1.5
	// refusalHold is the time for which a server is avoided after a refusal.
	refusalHold = 50 * time.Millisecond
)

// entry holds the state of one server. Times are relative to the table's epoch.
type entry struct {
	Server
	locality locality
	// linkRTT is the round-trip time to the server.
	linkRTT time.Duration
	// slots is the announced or reported number of slots times the weight, above 0.
	slots float64
	// own is the number of this node's requests in flight, at least 0.
	own int
	// reportedLoad is the load of the newest report, measured at reportedAt, which
	// is negative if there was none.
	reportedLoad float64
	reportedAt   time.Duration
	// sentSinceReport is the number of own requests in flight that were sent after
	// the newest report, at most own.
	sentSinceReport int
	// latency estimates the latency of own requests. baselineRunTime is the run time
	// derived from it over a longer time, in nanoseconds; 0 before the first answer.
	latency         latencyEstimator
	baselineRunTime float64
	// reportedRunTime is the run time in nanoseconds reported by the node beside the
	// server; 0 means unknown.
	reportedRunTime float64
	// failureShare is the smoothed share of failures, in [0, 1].
	failureShare float64
	// lastSample is the time of the newest answer, failure or reported latency.
	lastSample time.Duration
	// lastAnswer is the time of the last answer, or of the pick that ended an idle
	// period.
	lastAnswer time.Duration
	// refusingUntil is the time until which the server is avoided after a refusal.
	refusingUntil time.Duration
	// added is the time of the first Upsert; warm servers skip slow start.
	added     time.Duration
	warm      bool
	draining  bool
	inSubset  bool
	lastProbe time.Duration
	health    outlier.Record
}

// load returns the estimated number of requests running and queued at the server.
func (e *entry) load(p *pool, at time.Duration) float64 {
	n := p.meanLoad[e.locality] * e.slots
	if e.reportedAt >= 0 {
		age := float64(at-e.reportedAt) / float64(reportDecay)
		n += (e.reportedLoad - n) / (1 + age)
	}
	return max(n+float64(e.sentSinceReport), float64(e.own))
}

// runTime returns the estimated run time of a request in nanoseconds. An estimate
// within runTimeNoise of the median counts as the median. The time since the last
// answer is included while requests are in flight, so that a stall is visible
// before the first slow answer.
func (e *entry) runTime(p *pool, load float64, at time.Duration) float64 {
	est := max(e.measuredRunTime(p, load, at), e.reportedRunTime)
	if e.own > 0 {
		est = max(est, float64(at-e.lastAnswer-e.linkRTT))
	}
	if est < runTimeNoise*p.medianRunTime {
		return p.medianRunTime
	}
	return est
}

// measuredRunTime returns the run time in nanoseconds derived from own requests:
// their latency without the link's and without the expected wait in the queue.
func (e *entry) measuredRunTime(p *pool, load float64, at time.Duration) float64 {
	other := float64(e.linkRTT) + e.queueWait(p, load)
	prior := e.baselineRunTime
	if prior == 0 {
		prior = p.medianRunTime
	}
	return e.latency.estimate(e.own, prior+other, at) - other
}

// expectedLatency returns the expected time to an answer in nanoseconds.
func (e *entry) expectedLatency(p *pool, at time.Duration) float64 {
	load := e.load(p, at)
	run := e.runTime(p, load, at)
	slots := e.slots * e.ramp(p.config.SlowStart, at)
	over := expectedExcess(load + 1 - slots)
	t := float64(e.linkRTT) + run + run*over/slots + e.failureShare*failurePenalty*p.medianRunTime
	if at < e.refusingUntil {
		t += float64(time.Second)
	}
	return t
}

// expectedExcess returns the expected positive part of x, which has an error of up
// to loadError.
func expectedExcess(x float64) float64 {
	switch {
	case x >= loadError:
		return x
	case x <= -loadError:
		return 0
	default:
		return (x + loadError) * (x + loadError) / (4 * loadError)
	}
}

// ramp returns the share of the slots available during slow start.
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
