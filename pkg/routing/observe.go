package routing

import "time"

const (
	// failureGain is the weight of one request in the smoothed share of failures.
	failureGain = 0.2
	// baselineGain is the weight of one answer in the baseline run time.
	baselineGain = 0.1
	// baselineThreshold is the multiple of the median from which a measured run time
	// counts in the baseline. A lower one can also be caused by a queue.
	baselineThreshold = 2
	// failurePenalty is the cost of a failure as a multiple of the median run time,
	// so that a server that fails fast does not appear idle.
	failurePenalty = 10
)

// Done ends a request that Pick counted. Latency is the time from Pick to the end of
// the request, measured at the entry node.
func (t *Table) Done(service, id string, o Outcome, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, e := t.find(service, id)
	if e == nil {
		return
	}
	at := t.prepare(now)
	p.lastUpdate = at
	e.latency.advance(e.own, at)
	e.own = max(e.own-1, 0)
	e.sentSinceReport = min(e.sentSinceReport, e.own)
	serving := e.health.Serving()
	switch o {
	case Answered:
		e.lastAnswer = at
		e.failureShare -= failureGain * e.failureShare
		e.lastSample = at
		e.latency.completed++
		e.updateBaseline(p, at)
		run := float64(latency-e.linkRTT) - e.queueWait(p, e.load(p, at))
		if serving {
			run = max(e.measuredRunTime(p, e.load(p, at), at), e.reportedRunTime)
		}
		p.group.Answered(&e.health, run/p.medianRunTime, now)
	case Failed, Lost:
		if o == Failed {
			e.lastAnswer = at
		}
		e.failureShare += failureGain * (1 - e.failureShare)
		e.lastSample = at
		p.group.Failed(&e.health, now)
	case Refused:
		e.lastAnswer = at
		e.refusingUntil = at + refusalHold
		p.group.Canceled(&e.health, 0, now)
	case Canceled:
		p.group.Canceled(&e.health, float64(latency-e.linkRTT)/p.medianRunTime, now)
	}
	p.trackEjection(e, serving)
}

// updateBaseline moves the baseline run time towards the measured one.
func (e *entry) updateBaseline(p *pool, at time.Duration) {
	if e.baselineRunTime == 0 {
		e.baselineRunTime = p.medianRunTime
	}
	run := e.measuredRunTime(p, e.load(p, at), at)
	if run < baselineThreshold*p.medianRunTime {
		run = p.medianRunTime
	}
	e.baselineRunTime += baselineGain * (run - e.baselineRunTime)
}

// trackEjection updates the list of ejected servers.
func (p *pool) trackEjection(e *entry, was bool) {
	switch is := e.health.Serving(); {
	case was && !is:
		p.ejected = append(p.ejected, e)
	case !was && is:
		p.restore(e)
	}
}

// restore returns a server to service and resets its measurements.
func (p *pool) restore(e *entry) {
	for i, x := range p.ejected {
		if x == e {
			p.ejected = append(p.ejected[:i], p.ejected[i+1:]...)
			break
		}
	}
	e.latency, e.baselineRunTime, e.reportedRunTime, e.failureShare = latencyEstimator{lastUpdate: p.lastUpdate}, 0, 0, 0
}

// queueWait returns the expected wait in the queue at the given load, in
// nanoseconds.
func (e *entry) queueWait(p *pool, load float64) float64 {
	over := max(load-e.slots, 0)
	return over / e.slots * max(e.reportedRunTime, p.medianRunTime)
}

// Suspect reports whether a server currently appears slower than its peers or is
// ejected. A request that has waited there for long should be hedged.
func (t *Table) Suspect(service, id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, e := t.find(service, id)
	if e == nil {
		return false
	}
	at := t.prepare(now)
	return !e.health.Serving() || e.runTime(p, e.load(p, at), at) > p.medianRunTime
}

// Observe records a load that was received with an answer or a probe.
func (t *Table) Observe(service, id string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, e := t.find(service, id)
	if e == nil {
		return
	}
	at := t.prepare(now)
	read := at - l.Age
	if e.reportedAt >= 0 && read < e.reportedAt {
		return // a newer load was received before
	}
	e.reportedAt = read
	e.reportedLoad = float64(l.InFlight + l.Queued)
	e.sentSinceReport = 0
	if l.Slots > 0 {
		e.setSlots(l.Slots)
	}
	if l.Latency > 0 {
		e.reportedRunTime = float64(l.Latency)
		e.lastSample = at
	}
	e.refusingUntil = 0
	if l.Refusing {
		e.refusingUntil = at + refusalHold
	}
}
