package retry

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Usual values of a HedgeRule.
const (
	DefaultHedgeRatio = 0.02 // design goal: at most 2 % extra load
	DefaultHedgeAfter = 0.95
)

const (
	// lateShare is the part of the requests above HedgeRule.After that are
	// slow enough for a hedge beside a server that is not suspect: with the
	// p95, those above the p98. More of them spend the budget too early
	// (docs/decisions/001-placement.md).
	lateShare = 0.4
	// hedgeBurst bounds the saved budget, in requests; hedgeReserve is kept
	// for requests to suspect servers.
	hedgeBurst, hedgeReserve = 20, 10
	// hedgeStep is the relative step of the quantiles' estimates: with 0.02 their
	// noise spends more of the budget on requests that are not late.
	hedgeStep = 0.01
	// minSamples is the least number of answers that a quantile is taken from.
	minSamples = 100
	// maxServices and maxClasses bound the memory to below 1 MB, since
	// callers choose the names; further ones share the entry of otherName.
	maxServices, maxClasses = 64, 16
	otherName               = ""
)

// HedgeRule limits the hedges of one service.
type HedgeRule struct {
	// Ratio is the largest share of hedged calls; zero turns hedging off.
	Ratio float64
	// After is the quantile of latency after which a request to a suspect
	// server may be hedged.
	After float64
}

// late returns the quantile for servers that are not suspect.
func (r HedgeRule) late() float64 { return 1 - lateShare*(1-r.After) }

// HedgeDelays are the times after the first send at which Attempts.Hedge is
// asked. The first is for requests to suspect servers only.
type HedgeDelays [3]time.Duration

// HedgeCall describes a request whose answer is late.
type HedgeCall struct {
	Service    string
	Idempotent bool
	// Suspect tells whether the server of the first attempt looks slow; see
	// routing.Table.Suspect.
	Suspect bool
	// DelayIndex is the index of the delay in HedgeDelays.
	DelayIndex int
}

// Hedger decides when a second attempt may run beside a slow first one. It
// spends its budget first on requests to suspect servers: those are hedged
// after an earlier quantile and from a reserve. The zero value works.
type Hedger struct {
	mu       sync.Mutex
	services map[string]*hedges
}

// hedges is the state of one service.
//
// Invariant: tokens is at most hedgeBurst and at most what was earned.
type hedges struct {
	rule    HedgeRule
	tokens  float64
	classes map[string]*latencies
}

// latencies estimates two quantiles of one class.
type latencies struct {
	early, late quantile
	// first holds the answers up to minSamples, from which the estimates
	// start; it is nil afterwards.
	first []float64
	known bool
}

// quantile is an estimate in nanoseconds. It moves by a relative step with each
// sample, up and down in the proportion that is at rest at the quantile.
type quantile float64

func (q *quantile) learn(latency, share float64) {
	step := hedgeStep * share
	if latency <= float64(*q) {
		step -= hedgeStep
	}
	*q *= quantile(math.Exp(step))
}

// Observe records the latency of an idempotent call from its first send to its
// end. A hedged one counts with its latency after hedging.
func (h *Hedger) Observe(service, class string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.class(class).learn(float64(max(latency, time.Microsecond)), s.rule)
}

func (l *latencies) learn(latency float64, r HedgeRule) {
	if l.known {
		l.early.learn(latency, r.After)
		l.late.learn(latency, r.late())
		return
	}
	l.first = append(l.first, latency)
	if len(l.first) < minSamples {
		return
	}
	slices.Sort(l.first)
	l.early = quantile(l.first[int(r.After*minSamples)])
	l.late = quantile(l.first[int(r.late()*minSamples)])
	l.known, l.first = true, nil
}

// Delays counts one call and returns when it may be hedged. It is false while
// the rule permits no hedges and until the class has enough answers.
func (h *Hedger) Delays(service, class string, r HedgeRule) (HedgeDelays, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.rule = r
	s.tokens = min(s.tokens+r.Ratio, hedgeBurst)
	c := s.class(class)
	if r.Ratio <= 0 || !c.known {
		return HedgeDelays{}, false
	}
	early := time.Duration(c.early)
	late := max(time.Duration(c.late), early)
	return HedgeDelays{early, late, 2 * late}, true
}

// take spends one hedge if the rule permits one now.
func (h *Hedger) take(c HedgeCall) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(c.Service)
	enough := 1.0
	if !c.Suspect {
		enough += hedgeReserve
	}
	if s.rule.Ratio <= 0 || c.DelayIndex == 0 && !c.Suspect || s.tokens < enough {
		return false
	}
	s.tokens--
	return true
}

func (h *Hedger) service(name string) *hedges {
	if h.services == nil {
		h.services = make(map[string]*hedges)
	}
	return bounded(h.services, name, maxServices, func() *hedges {
		return &hedges{
			rule:    HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter},
			classes: make(map[string]*latencies),
		}
	})
}

func (s *hedges) class(name string) *latencies {
	return bounded(s.classes, name, maxClasses, func() *latencies { return &latencies{} })
}

// bounded returns the value of a name, or the shared one of otherName if the
// map is full.
func bounded[T any](m map[string]*T, name string, limit int, add func() *T) *T {
	if v := m[name]; v != nil {
		return v
	}
	if len(m) >= limit {
		if name = otherName; m[name] != nil {
			return m[name]
		}
	}
	v := add()
	m[name] = v
	return v
}
