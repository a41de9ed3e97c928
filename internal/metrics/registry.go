// Package metrics counts what a node does, keeps histograms of latency by
// service, class and tenant, and exports both for scrapers and for reports.
package metrics

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Bounds of the memory. Callers choose class and tenant freely, so labels over
// the bounds share one series. A series with one value takes 1.6 KB, and 8 bytes
// more for each further distinct value of the running interval.
const (
	maxPairs    = 64
	maxSeries   = 256
	maxServices = 64
	// maxValue bounds the bytes of one label value.
	maxValue = 64
)

// Registry holds the metrics of a node. The zero value is empty and ready.
type Registry struct {
	once sync.Once
	all  gometrics.Registry

	// labels and actions are replaced as a whole, so that they are read
	// without a lock.
	labels  atomic.Pointer[map[Label]*series]
	actions atomic.Pointer[map[actionKey]*counter]

	mu sync.Mutex
	// pairs counts the series of each service.
	pairs map[string]int
	// services holds the services with counters of actions.
	services map[string]bool
}

type actionKey struct{ service, action string }

func (r *Registry) registry() gometrics.Registry {
	r.once.Do(func() {
		r.all = gometrics.NewRegistry()
		r.pairs, r.services = make(map[string]int), make(map[string]bool)
	})
	return r.all
}

// Answered implements caller.Observer. It counts malformed requests and those for
// services that do not exist under Other, because their labels are not checked.
func (r *Registry) Answered(q call.Request, _ int, err error, took time.Duration) {
	outcome, kind := fault.Ran, fault.Kind("")
	if err != nil {
		f := fault.As(err)
		outcome, kind = f.Outcome, f.Kind
	}
	label := Label{q.Service, q.Class, q.Tenant}
	if kind == fault.KindUnknownService || kind == fault.KindBadRequest {
		label = Label{Other, Other, Other}
	}
	s := r.series(label)
	s.outcomes[min(outcome, fault.Ran)].Inc(1)
	if outcome == fault.Refused {
		s.refuse(kind)
		return
	}
	s.latency.Update(microseconds(took))
}

// CountDecision counts a decision about a request.
func (r *Registry) CountDecision(service, action string) {
	key := actionKey{service, action}
	if known := r.actions.Load(); known != nil {
		if c := (*known)[key]; c != nil {
			c.Inc(1)
			return
		}
	}
	r.addAction(key).Inc(1)
}

func (r *Registry) addAction(key actionKey) *counter {
	all := r.registry()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.services[key.service] && len(r.services) >= maxServices {
		key.service = Other
	} else {
		key.service = valid(key.service)
		r.services[key.service] = true
	}
	next := make(map[actionKey]*counter)
	if known := r.actions.Load(); known != nil {
		next = maps.Clone(*known)
	}
	if c := next[key]; c != nil {
		return c
	}
	c := newCounter(all, familyDecisions, key.service, key.action)
	next[key] = c
	r.actions.Store(&next)
	return c
}

// series returns the series of the label, or the one that it shares.
func (r *Registry) series(l Label) *series {
	if s := r.find(l); s != nil {
		return s
	}
	all := r.registry()
	r.mu.Lock()
	defer r.mu.Unlock()
	l = r.bounded(Label{valid(l.Service), valid(l.Class), valid(l.Tenant)})
	if s := r.find(l); s != nil {
		return s
	}
	next := make(map[Label]*series)
	if known := r.labels.Load(); known != nil {
		next = maps.Clone(*known)
	}
	s := newSeries(l, all)
	next[l] = s
	r.pairs[l.Service]++
	r.labels.Store(&next)
	return s
}

// valid returns a copy of at most maxValue bytes, which does not keep the memory
// of a request, without bytes that are not UTF-8: one such value would fail a
// whole scrape.
func valid(text string) string {
	return strings.Clone(strings.ToValidUTF8(text[:min(len(text), maxValue)], "?"))
}

// bounded returns the label itself if there is room for it.
func (r *Registry) bounded(l Label) Label {
	known := 0
	if labels := r.labels.Load(); labels != nil {
		known = len(*labels)
	}
	if r.find(l) != nil || known < maxSeries-1 && r.pairs[l.Service] < maxPairs {
		return l
	}
	shared := Label{l.Service, Other, Other}
	if r.find(shared) != nil || known < maxSeries-1 {
		return shared
	}
	return Label{Other, Other, Other}
}

func (r *Registry) find(l Label) *series {
	known := r.labels.Load()
	if known == nil {
		return nil
	}
	return (*known)[l]
}

// Gauge exports a value that is read when it is asked for.
func (r *Registry) Gauge(f Family, read func() int64, values ...string) {
	g := &gauge{gometrics.NewFunctionalGauge(read), described{f, values}}
	_ = r.registry().Register(g.name(), g)
}

// cut returns the figures since the last cut. Calls must not overlap.
func (r *Registry) cut() Figures {
	var f Figures
	if known := r.labels.Load(); known != nil {
		for _, s := range *known {
			s.cut(&f)
		}
	}
	return f
}
