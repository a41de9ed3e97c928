package routing

import (
	"math"
	"time"
)

const (
	// paceWindow is the time constant with which old observations fade. It is
	// a few run times long, so that a slowdown shows after about one.
	paceWindow = 30 * time.Millisecond
	// pacePrior is the weight of the prior, in ended requests.
	pacePrior = 2
)

// pace estimates the time a request takes as the time that requests spent
// divided by the number that ended. Requests that still run count as well, so
// that a slowdown shows before the first slow answer.
type pace struct {
	// spent is in nanoseconds; both figures fade with paceWindow.
	spent, ended float64
	at           time.Duration
}

// advance accounts for the time since the last call, in which inFlight
// requests ran.
func (p *pace) advance(inFlight int, at time.Duration) {
	if at <= p.at {
		return
	}
	fade := math.Exp(-float64(at-p.at) / float64(paceWindow))
	p.spent = p.spent*fade + float64(inFlight)*float64(paceWindow)*(1-fade)
	p.ended *= fade
	p.at = at
}

// estimate returns nanoseconds; prior is the estimate without observations.
func (p *pace) estimate(inFlight int, prior float64, at time.Duration) float64 {
	spent := p.spent + float64(inFlight)*float64(at-p.at)
	return (spent + pacePrior*prior) / (p.ended + pacePrior)
}

// RunTimeMeter measures the run time of one server at the node beside it. Its zero
// value works. It is not safe for concurrent use.
type RunTimeMeter struct {
	pace
	epoch    time.Time
	inFlight int
	// smoothed is a slow average that serves as prior, in nanoseconds.
	smoothed float64
}

// Start counts a request that begins to run.
func (p *RunTimeMeter) Start(now time.Time) {
	p.advance(p.inFlight, p.since(now))
	p.inFlight++
}

// End counts a request that ran for the given time. A canceled request counts
// with completed false.
func (p *RunTimeMeter) End(ran time.Duration, completed bool, now time.Time) {
	p.advance(p.inFlight, p.since(now))
	p.inFlight = max(p.inFlight-1, 0)
	if !completed {
		return
	}
	p.ended++
	if p.smoothed == 0 {
		p.smoothed = float64(ran)
	}
	p.smoothed += (float64(ran) - p.smoothed) / 32
}

// Latency returns the figure for Load.Latency; 0 means unknown.
func (p *RunTimeMeter) Latency(now time.Time) time.Duration {
	if p.smoothed == 0 {
		return 0
	}
	return time.Duration(p.estimate(p.inFlight, p.smoothed, p.since(now)))
}

func (p *RunTimeMeter) since(now time.Time) time.Duration {
	if p.epoch.IsZero() {
		p.epoch = now
	}
	return now.Sub(p.epoch)
}
