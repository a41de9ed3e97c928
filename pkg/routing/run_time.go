package routing

import (
	"math"
	"time"
)

const (
	// latencyWindow is the time constant with which old observations decay. It is a
	// few run times long, so that a slowdown is visible after about one run time.
	latencyWindow = 30 * time.Millisecond
	// priorWeight is the weight of the prior, in completed requests.
	priorWeight = 2
)

// latencyEstimator estimates the latency of a request as the time spent by all
// requests divided by the number of completed ones. Running requests are included,
// so that a slowdown is visible before the first slow answer.
type latencyEstimator struct {
	// requestTime is in nanoseconds; both values decay with latencyWindow.
	requestTime, completed float64
	lastUpdate             time.Duration
}

// advance adds the time since the last call, during which inFlight requests ran.
func (e *latencyEstimator) advance(inFlight int, at time.Duration) {
	if at <= e.lastUpdate {
		return
	}
	decay := math.Exp(-float64(at-e.lastUpdate) / float64(latencyWindow))
	e.requestTime = e.requestTime*decay + float64(inFlight)*float64(latencyWindow)*(1-decay)
	e.completed *= decay
	e.lastUpdate = at
}

// estimate returns the latency in nanoseconds; prior is the estimate without
// observations.
func (e *latencyEstimator) estimate(inFlight int, prior float64, at time.Duration) float64 {
	total := e.requestTime + float64(inFlight)*float64(at-e.lastUpdate)
	return (total + priorWeight*prior) / (e.completed + priorWeight)
}

// RunTimeMeter measures the run time of one server at the node beside it. Its zero
// value is ready to use. It is not safe for concurrent use.
type RunTimeMeter struct {
	latencyEstimator
	epoch    time.Time
	inFlight int
	// smoothed is a slow moving average in nanoseconds, used as the prior.
	smoothed float64
}

// Start counts a request that starts to run.
func (m *RunTimeMeter) Start(now time.Time) {
	m.advance(m.inFlight, m.since(now))
	m.inFlight++
}

// End counts a request that ran for the given time. For a canceled request,
// completed is false.
func (m *RunTimeMeter) End(ran time.Duration, completed bool, now time.Time) {
	m.advance(m.inFlight, m.since(now))
	m.inFlight = max(m.inFlight-1, 0)
	if !completed {
		return
	}
	m.completed++
	if m.smoothed == 0 {
		m.smoothed = float64(ran)
	}
	m.smoothed += (float64(ran) - m.smoothed) / 32
}

// Latency returns the value for Load.Latency; 0 means unknown.
func (m *RunTimeMeter) Latency(now time.Time) time.Duration {
	if m.smoothed == 0 {
		return 0
	}
	return time.Duration(m.estimate(m.inFlight, m.smoothed, m.since(now)))
}

func (m *RunTimeMeter) since(now time.Time) time.Duration {
	if m.epoch.IsZero() {
		m.epoch = now
	}
	return now.Sub(m.epoch)
}
