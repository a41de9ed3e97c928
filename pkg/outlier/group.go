package outlier

import "time"

// failureSmoothing is the weight of one outcome in the smoothed share of failures,
// which therefore covers about the last ten outcomes.
const failureSmoothing = 0.1

// minSamples is the number of outcomes from which the share of failures is used.
const minSamples = 10

// trialPassRatio is the fraction of SlowRatio below which a trial passes. A server
// that is slowed 5x answers one request in five below SlowRatio, because run times
// vary. A trial between the two neither passes nor fails.
const trialPassRatio = 0.67

// Group detects outliers among the servers of one service, from the requests of one
// node. It is not safe for concurrent use; routing.Table guards it with its mutex.
type Group struct {
	Config
	// Size is the number of servers in the group; the owner of the group updates it.
	Size int
	// ejected is the number of records that are not in state Serving.
	ejected int
	ready   bool
}

// EjectedCount returns the number of servers that are ejected or in trial.
func (g *Group) EjectedCount() int { return g.ejected }

// Answered records an answer. Ratio is the server's latency divided by that of its
// peers. It reports whether the answer caused an ejection.
func (g *Group) Answered(r *Record, ratio float64, now time.Time) bool {
	g.prepare()
	r.consecutiveFailures = 0
	r.failureShare -= failureSmoothing * r.failureShare
	r.samples++
	if ratio < g.SlowRatio {
		r.consecutiveSlow = 0
		g.passTrial(r, ratio < trialPassRatio*g.SlowRatio, now)
		return false
	}
	r.consecutiveSlow++
	if r.State(now) == Trial {
		return g.failTrial(r, CauseSlow, now)
	}
	return r.consecutiveSlow >= g.ConsecutiveSlow && g.eject(r, CauseSlow, now)
}

// Failed records a failed request. It reports whether the failure caused an
// ejection.
func (g *Group) Failed(r *Record, now time.Time) bool {
	g.prepare()
	r.consecutiveFailures++
	r.samples++
	r.failureShare += failureSmoothing * (1 - r.failureShare)
	if r.State(now) == Trial {
		return g.failTrial(r, CauseFailures, now)
	}
	failsOften := r.samples >= minSamples && r.failureShare > g.FailureShare
	return (r.consecutiveFailures >= g.ConsecutiveFailures || failsOften) && g.eject(r, CauseFailures, now)
}

// TrialDue reports whether a trial request may be sent now. It is called for each
// request that could be a trial. After TrialAfterRequests calls, a server that was
// ejected as slow is tried before its ejection time is over.
func (g *Group) TrialDue(r *Record, now time.Time) bool {
	g.prepare()
	r.eligibleRequests++
	if r.state == Ejected && r.cause == CauseSlow && r.eligibleRequests >= g.TrialAfterRequests {
		r.ejectedUntil = now
	}
	if r.State(now) != Trial {
		return false
	}
	return r.trialStart.IsZero() || now.Sub(r.trialStart) > g.MaxEjectionTime
}

// BeginTrial records that a trial request was sent.
func (g *Group) BeginTrial(r *Record, now time.Time) { r.trialStart = now }

// Canceled records that a request was canceled after ratio times the latency of the
// peers. A trial that is canceled late fails, since it was hedged because it took
// long. One that is canceled earlier neither passes nor fails.
func (g *Group) Canceled(r *Record, ratio float64, now time.Time) {
	g.prepare()
	if r.State(now) != Trial || r.trialStart.IsZero() {
		return
	}
	r.trialStart = time.Time{}
	if ratio >= trialPassRatio*g.SlowRatio {
		g.startEjection(r, CauseSlow, now)
	}
}

// Forget resets the record of a removed server and updates the number of ejections.
func (g *Group) Forget(r *Record) {
	if r.state != Serving {
		g.ejected--
	}
	*r = Record{}
}

func (g *Group) prepare() {
	if !g.ready {
		g.Config = g.withDefaults()
		g.ready = true
	}
}

func (g *Group) eject(r *Record, cause Cause, now time.Time) bool {
	if r.state != Serving || g.ejected >= g.maxEjected() {
		return false
	}
	g.ejected++
	// The ejection time starts again at its base if the server has served for long
	// since its last ejection. Otherwise it keeps doubling.
	if now.Sub(r.ejectedUntil) > 10*r.ejectionTime {
		r.ejectionTime = 0
	}
	g.startEjection(r, cause, now)
	return true
}

func (g *Group) failTrial(r *Record, cause Cause, now time.Time) bool {
	if r.trialStart.IsZero() {
		return false // the answer to a request from before the ejection
	}
	g.startEjection(r, cause, now)
	return true
}

func (g *Group) startEjection(r *Record, cause Cause, now time.Time) {
	r.ejectionTime = min(max(2*r.ejectionTime, g.BaseEjectionTime), g.MaxEjectionTime)
	r.state, r.cause = Ejected, cause
	r.ejectedUntil = now.Add(r.ejectionTime)
	r.eligibleRequests = 0
	r.trialStart = time.Time{}
}

func (g *Group) passTrial(r *Record, passed bool, now time.Time) {
	if r.State(now) != Trial || r.trialStart.IsZero() {
		return
	}
	r.trialStart = time.Time{}
	if passed {
		r.passedTrials++
	}
	if r.passedTrials < g.RequiredTrials {
		return
	}
	g.ejected--
	*r = Record{ejectedUntil: now, ejectionTime: r.ejectionTime}
}

// maxEjected returns the number of servers that may be ejected at the same time.
func (g *Group) maxEjected() int {
	if g.Size < 2 {
		return 0
	}
	return max(1, int(g.MaxEjectedShare*float64(g.Size)))
}
