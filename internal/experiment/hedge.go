package experiment

import (
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// class is the request class of all requests.
const class = "lookup"

// retryLimits limits the load that one entry node adds by retries and hedging, as
// pkg/retry does in a node.
type retryLimits struct {
	retries retry.Budget
	hedger  retry.Hedger
}

// startHedgeTimers schedules the delays after which an idempotent request may be
// hedged.
func (r *request) startHedgeTimers() {
	e := r.emulator
	if !e.options.Hedge {
		return
	}
	delays, ok := e.retryLimits[r.entry].hedger.Delays(service, class, retry.HedgeRule{Ratio: retry.DefaultHedgeRatio, After: retry.DefaultHedgeAfter})
	if !ok || !r.idempotent {
		return
	}
	for delayIndex, delay := range delays {
		e.after(delay, func() { r.hedgeIfPending(delayIndex) })
	}
}

// hedgeIfPending hedges a request that is unanswered at one of its delays, if the
// rules permit it.
func (r *request) hedgeIfPending(delayIndex int) {
	if r.done || len(r.inFlight) != 1 {
		return
	}
	e := r.emulator
	c := retry.HedgeCall{
		Service: service, Idempotent: r.idempotent, DelayIndex: delayIndex,
		Suspect: e.policy.suspect(r.entry, r.inFlight[0].s.index),
	}
	if r.attempts.Hedge(&e.retryLimits[r.entry].hedger, c, e.time()) && r.send(true) {
		e.hedges++
	}
}
