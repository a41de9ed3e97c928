package retry

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Default values of a HedgeRule.
const (
	DefaultHedgeRatio = 0.02 // design goal: at most 2 % extra load
	DefaultHedgeAfter = 0.95
)

const (
	// lateFraction is the share of the requests above HedgeRule.After that are
	// slow enough for a hedge if the server is not suspect: with the p95, those
	// above the p98. A larger share spends the budget too early
	// (docs/decisions/001-placement.md).
	lateFraction = 0.4
	// hedgeBurst is the largest number of saved hedges; hedgeReserve of them are
	// reserved for requests to suspect servers.
	hedgeBurst, hedgeReserve = 20, 10
	// quantileStep is the relative step of the quantile estimates. At 0.02 their
	// noise spends more of the budget on requests that are not late.
	quantileStep = 0.01
	// minSamples is the number of answers needed for the first quantile estimate.
	minSamples = 100
	// maxServices and maxClasses bound the memory to below 1 MB, since callers
	// choose the names. Further names share the entry of overflowName.
	maxServices, maxClasses = 64, 16
	overflowName            = ""
)

// HedgeRule configures the hedging of one service.
type HedgeRule struct {
	// Ratio is the largest share of calls that are hedged; zero disables hedging.
	Ratio float64
	// After is the latency quantile after which a request to a suspect server may
	// be hedged.
	After float64
}

// lateQuantile returns the quantile for requests to servers that are not suspect.
func (r HedgeRule) lateQuantile() float64 { return 1 - lateFraction*(1-r.After) }

// HedgeDelays are the times after the first send at which the caller calls
// Attempts.Hedge. The first applies only to requests to suspect servers.
type HedgeDelays [3]time.Duration

// HedgeCall describes a request that is still unanswered at one of its delays.
type HedgeCall struct {
	Service    string
	Idempotent bool
	// Suspect is set if the server of the first attempt appears slow; see
	// routing.Table.Suspect.
	Suspect bool
	// DelayIndex is the index of the delay in HedgeDelays.
	DelayIndex int
}

// Hedger decides when a second attempt may run in parallel with a slow first one.
// Requests to suspect servers take precedence: they are hedged after an earlier
// quantile and may use a reserve of the budget. The zero value is ready to use.
type Hedger struct {
	mu       sync.Mutex
	services map[string]*serviceHedges
}

// serviceHedges is the state of one service.
//
// Invariant: tokens is at most hedgeBurst and at most the number earned.
type serviceHedges struct {
	rule    HedgeRule
	tokens  float64
	classes map[string]*classLatencies
}

// classLatencies estimates two latency quantiles of one request class.
type classLatencies struct {
	early, late quantile
	// initial holds the first minSamples latencies, from which the first estimates
	// are computed; it is nil afterwards.
	initial []float64
	ready   bool
}

// quantile is an estimate in nanoseconds. Each sample moves it by a relative step.
// The upward and downward steps are sized so that they cancel out at the quantile.
type quantile float64

func (q *quantile) update(latency, share float64) {
	step := quantileStep * share
	if latency <= float64(*q) {
		step -= quantileStep
	}
	*q *= quantile(math.Exp(step))
}

// Observe records the latency of an idempotent call from its first send to its end.
// The latency of a hedged call includes the effect of the hedge.
func (h *Hedger) Observe(service, class string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.class(class).update(float64(max(latency, time.Microsecond)), s.rule)
}

func (l *classLatencies) update(latency float64, r HedgeRule) {
	if l.ready {
		l.early.update(latency, r.After)
		l.late.update(latency, r.lateQuantile())
		return
	}
	l.initial = append(l.initial, latency)
	if len(l.initial) < minSamples {
		return
	}
	slices.Sort(l.initial)
	l.early = quantile(l.initial[int(r.After*minSamples)])
	l.late = quantile(l.initial[int(r.lateQuantile()*minSamples)])
	l.ready, l.initial = true, nil
}

// Delays counts one call and returns the times at which it may be hedged. It returns
// false if the rule disables hedging or the class has too few answers.
func (h *Hedger) Delays(service, class string, r HedgeRule) (HedgeDelays, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.rule = r
	s.tokens = min(s.tokens+r.Ratio, hedgeBurst)
	c := s.class(class)
	if r.Ratio <= 0 || !c.ready {
		return HedgeDelays{}, false
	}
	early := time.Duration(c.early)
	late := max(time.Duration(c.late), early)
	return HedgeDelays{early, late, 2 * late}, true
}

// take takes one hedge from the budget if the rule permits it.
func (h *Hedger) take(c HedgeCall) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(c.Service)
	required := 1.0
	if !c.Suspect {
		required += hedgeReserve
	}
	if s.rule.Ratio <= 0 || c.DelayIndex == 0 && !c.Suspect || s.tokens < required {
		return false
	}
	s.tokens--
	return true
}

func (h *Hedger) service(name string) *serviceHedges {
	if h.services == nil {
		h.services = make(map[string]*serviceHedges)
	}
	return getOrAdd(h.services, name, maxServices, func() *serviceHedges {
		return &serviceHedges{
			rule:    HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter},
			classes: make(map[string]*classLatencies),
		}
	})
}

func (s *serviceHedges) class(name string) *classLatencies {
	return getOrAdd(s.classes, name, maxClasses, func() *classLatencies { return &classLatencies{} })
}

// getOrAdd returns the value of a name and adds it if it is missing. If the map is
// full, it returns the shared value of overflowName.
func getOrAdd[T any](m map[string]*T, name string, limit int, add func() *T) *T {
	if v := m[name]; v != nil {
		return v
	}
	if len(m) >= limit {
		if name = overflowName; m[name] != nil {
			return m[name]
		}
	}
	v := add()
	m[name] = v
	return v
}
