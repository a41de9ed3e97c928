package experiment

import (
	"math"
	"time"
)

const (
	// hedgeShare is the largest share of extra requests.
	hedgeShare = 0.02
	// hedgeQuantile is the latency quantile after which a request is hedged.
	// It lies above the class's p95, so that the budget lasts for all requests
	// that pass it.
	hedgeQuantile = 0.983
	// hedgeStep is the relative step of the quantile's estimate.
	hedgeStep = 0.02
	// hedgeBurst bounds the saved budget, in requests.
	hedgeBurst = 20
)

// hedger decides about second attempts of idempotent requests. It has the
// rule of pkg/retry, which is not in this branch yet: after the class's p95,
// at most 2 % extra load.
type hedger struct {
	w *world
	// after is the estimated quantile for each entry, in nanoseconds.
	after  []float64
	tokens []float64
}

func newHedger(w *world) *hedger {
	h := &hedger{w: w, after: make([]float64, w.dep.Servers), tokens: make([]float64, w.dep.Servers)}
	for i := range h.after {
		h.after[i] = 3 * float64(meanService)
	}
	return h
}

// learn moves the estimate of the quantile towards a latency. A hedged
// request counts with its latency after hedging.
func (h *hedger) learn(r *request, latency time.Duration) {
	if float64(latency) > h.after[r.entry] {
		h.after[r.entry] *= math.Exp(hedgeStep * hedgeQuantile)
	} else {
		h.after[r.entry] *= math.Exp(-hedgeStep * (1 - hedgeQuantile))
	}
}

// watch starts the timer of an idempotent request.
func (h *hedger) watch(r *request) {
	if !h.w.opt.Hedge {
		return
	}
	h.tokens[r.entry] = min(h.tokens[r.entry]+hedgeShare, hedgeBurst)
	if !r.idempotent {
		return
	}
	h.w.after(time.Duration(h.after[r.entry]), func() { h.due(r) })
}

func (h *hedger) due(r *request) {
	if r.done || len(r.open) != 1 || r.retried || h.tokens[r.entry] < 1 {
		return
	}
	h.tokens[r.entry]--
	if r.send(true) {
		h.w.hedges++
	}
}
