package experiment

import (
	"math"
	"time"
)

const (
	// hedgeShare is the largest share of extra requests.
	hedgeShare = 0.02
	// hedgeEarly is the latency quantile after which a request to a suspect
	// server is hedged, hedgeLate the one for any other server. The second
	// lies above the class's p95, so that the budget lasts.
	hedgeEarly, hedgeLate = 0.95, 0.98
	// hedgeStep is the relative step of the quantiles' estimates.
	hedgeStep = 0.02
	// hedgeBurst bounds the saved budget, in requests; hedgeReserve is kept
	// for requests to suspect servers.
	hedgeBurst, hedgeReserve = 20, 5
)

// hedger decides about second attempts of idempotent requests. It has the
// rule of pkg/retry, which is not in this branch yet: after the class's p95,
// at most 2 % extra load.
type hedger struct {
	w           *world
	early, late []quantileEstimate
	tokens      []float64
}

// quantileEstimate tracks a quantile of latencies, in nanoseconds.
type quantileEstimate float64

func (q *quantileEstimate) learn(latency time.Duration, quantile float64) {
	step := -hedgeStep * (1 - quantile)
	if float64(latency) > float64(*q) {
		step = hedgeStep * quantile
	}
	*q *= quantileEstimate(math.Exp(step))
}

func newHedger(w *world) *hedger {
	n := w.dep.Servers
	h := &hedger{w: w, early: make([]quantileEstimate, n), late: make([]quantileEstimate, n), tokens: make([]float64, n)}
	for i := range h.tokens {
		h.early[i] = quantileEstimate(2 * meanService)
		h.late[i] = quantileEstimate(3 * meanService)
	}
	return h
}

// learn takes in the latency of an idempotent request. A hedged one counts
// with its latency after hedging.
func (h *hedger) learn(r *request, latency time.Duration) {
	if r.idempotent {
		h.early[r.entry].learn(latency, hedgeEarly)
		h.late[r.entry].learn(latency, hedgeLate)
	}
}

// watch starts the timers of an idempotent request.
func (h *hedger) watch(r *request) {
	if !h.w.opt.Hedge {
		return
	}
	h.tokens[r.entry] = min(h.tokens[r.entry]+hedgeShare, hedgeBurst)
	if !r.idempotent {
		return
	}
	early, late := time.Duration(h.early[r.entry]), time.Duration(h.late[r.entry])
	h.w.after(early, func() { h.due(r, math.Inf(1)) })
	h.w.after(max(late, early), func() { h.due(r, 1+hedgeReserve) })
	h.w.after(2*max(late, early), func() { h.due(r, 1+hedgeReserve) })
}

// due hedges the request if its server is suspect or if the entry has saved
// enough budget.
func (h *hedger) due(r *request, enough float64) {
	if r.done || len(r.open) != 1 || len(r.tried) > 1 {
		return
	}
	if h.w.policy.suspect(r.entry, r.open[0].s.index) {
		enough = 1
	}
	if h.tokens[r.entry] < enough {
		return
	}
	h.tokens[r.entry]--
	if r.send(true) {
		h.w.hedges++
	}
}
