package experiment

import (
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// class is the class of all requests.
const class = "lookup"

// limits are what one entry adds to the load: pkg/retry as a node uses it.
type limits struct {
	retries retry.Budget
	hedger  retry.Hedger
}

// watch starts the timers of an idempotent request.
func (r *request) watch() {
	w := r.w
	if !w.opt.Hedge {
		return
	}
	delays, ok := w.limits[r.entry].hedger.Delays(service, class, retry.HedgeRule{Ratio: retry.DefaultHedgeRatio, After: retry.DefaultHedgeAfter})
	if !ok || !r.idempotent {
		return
	}
	for turn, delay := range delays {
		w.after(delay, func() { r.late(turn) })
	}
}

// late hedges a request without an answer if the rules permit it.
func (r *request) late(turn int) {
	if r.done || len(r.open) != 1 {
		return
	}
	w := r.w
	c := retry.HedgeCall{
		Service: service, Idempotent: r.idempotent, DelayIndex: turn,
		Suspect: w.policy.suspect(r.entry, r.open[0].s.index),
	}
	if r.attempts.Hedge(&w.limits[r.entry].hedger, c, w.time()) && r.send(true) {
		w.hedges++
	}
}
