package outlier

import "time"

// smoothing is the weight of one outcome in the share of failures: about the
// last ten outcomes count.
const smoothing = 0.1

// minSamples is the number of outcomes before the share of failures counts.
const minSamples = 10

// passShare is the share of Slow below which a trial is good. A server that is
// slowed 5x answers one request in five below Slow itself, because run times
// vary; a trial in between decides nothing.
const passShare = 0.67

// Group decides about the servers of one service seen from one node. It is
// not safe for concurrent use; routing.Table guards it with its mutex.
type Group struct {
	Config
	// Size is the number of servers in the group; the owner keeps it current.
	Size int
	// out is the number of records not in state Serving.
	out   int
	ready bool
}

// Ejected returns the number of servers that are ejected or in trial.
func (g *Group) Ejected() int { return g.out }

// Answered records an answer; ratio is the server's latency divided by its
// peers'. It reports whether the server was ejected by it.
func (g *Group) Answered(r *Record, ratio float64, now time.Time) bool {
	g.prepare()
	r.failures = 0
	r.share -= smoothing * r.share
	r.samples++
	if ratio < g.SlowRatio {
		r.slow = 0
		g.passTrial(r, ratio < passShare*g.SlowRatio, now)
		return false
	}
	r.slow++
	if r.State(now) == Trial {
		return g.failTrial(r, CauseSlow, now)
	}
	return r.slow >= g.ConsecutiveSlow && g.eject(r, CauseSlow, now)
}

// Failed records a failed request. It reports whether the server was ejected
// by it.
func (g *Group) Failed(r *Record, now time.Time) bool {
	g.prepare()
	r.failures++
	r.samples++
	r.share += smoothing * (1 - r.share)
	if r.State(now) == Trial {
		return g.failTrial(r, CauseFailures, now)
	}
	often := r.samples >= minSamples && r.share > g.FailureShare
	return (r.failures >= g.ConsecutiveFailures || often) && g.eject(r, CauseFailures, now)
}

// TrialDue reports whether a trial request may be sent now. It is asked for
// each request that could be the trial; after Requests of them a slow server
// is tried again before its time is over.
func (g *Group) TrialDue(r *Record, now time.Time) bool {
	g.prepare()
	r.asked++
	if r.state == Ejected && r.cause == CauseSlow && r.asked >= g.TrialAfterRequests {
		r.until = now
	}
	if r.State(now) != Trial {
		return false
	}
	return r.tried.IsZero() || now.Sub(r.tried) > g.MaxEjectionTime
}

// BeginTrial records that a trial request is sent.
func (g *Group) BeginTrial(r *Record, now time.Time) { r.tried = now }

// Canceled records that a request was given up after ratio times the latency
// of the peers. A trial that was given up late fails: it was hedged because it
// took long. An earlier one decides nothing.
func (g *Group) Canceled(r *Record, ratio float64, now time.Time) {
	g.prepare()
	if r.State(now) != Trial || r.tried.IsZero() {
		return
	}
	r.tried = time.Time{}
	if ratio >= passShare*g.SlowRatio {
		g.sendOut(r, CauseSlow, now)
	}
}

// Forget takes a removed server out of the count.
func (g *Group) Forget(r *Record) {
	if r.state != Serving {
		g.out--
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
	if r.state != Serving || g.out >= g.limit() {
		return false
	}
	g.out++
	// A server that served for long after its last ejection starts again at
	// the base time; one that relapses soon continues to double.
	if now.Sub(r.until) > 10*r.out {
		r.out = 0
	}
	g.sendOut(r, cause, now)
	return true
}

func (g *Group) failTrial(r *Record, cause Cause, now time.Time) bool {
	if r.tried.IsZero() {
		return false // an answer to a request from before the ejection
	}
	g.sendOut(r, cause, now)
	return true
}

func (g *Group) sendOut(r *Record, cause Cause, now time.Time) {
	r.out = min(max(2*r.out, g.BaseEjectionTime), g.MaxEjectionTime)
	r.state, r.cause = Ejected, cause
	r.until = now.Add(r.out)
	r.asked = 0
	r.tried = time.Time{}
}

func (g *Group) passTrial(r *Record, good bool, now time.Time) {
	if r.State(now) != Trial || r.tried.IsZero() {
		return
	}
	r.tried = time.Time{}
	if good {
		r.passed++
	}
	if r.passed < g.RequiredTrials {
		return
	}
	g.out--
	*r = Record{until: now, out: r.out}
}

// limit is the number of servers that may be out.
func (g *Group) limit() int {
	if g.Size < 2 {
		return 0
	}
	return max(1, int(g.MaxEjectedShare*float64(g.Size)))
}
