// Package metrics counts the requests and decisions of a node, keeps latency
// histograms by service, class and tenant, and exports them to Prometheus and to
// reports about configuration changes.
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

// Bounds of the memory. Callers choose class and tenant freely, so labels over the
// bounds share one series. A series with one value takes 1.6 KB, and 8 bytes more for
// each further distinct value of the current interval.
const (
	maxSeriesPerService = 64
	maxSeries           = 256
	maxServices         = 64
	// maxLabelBytes bounds the length of one label value.
	maxLabelBytes = 64
)

// Registry holds the metrics of a node. The zero value is ready to use.
type Registry struct {
	once sync.Once
	all  gometrics.Registry

	// seriesByLabel and decisionCounters are copied on write, so that they can be read
	// without a lock.
	seriesByLabel    atomic.Pointer[map[Label]*series]
	decisionCounters atomic.Pointer[map[decisionKey]*counter]

	mu sync.Mutex
	// seriesPerService holds the number of series of each service.
	seriesPerService map[string]int
	// services holds the services that have counters of decisions.
	services map[string]bool
}

type decisionKey struct{ service, action string }

func (r *Registry) registry() gometrics.Registry {
	r.once.Do(func() {
		r.all = gometrics.NewRegistry()
		r.seriesPerService, r.services = make(map[string]int), make(map[string]bool)
	})
	return r.all
}

// Answered implements caller.Observer. It counts malformed requests and those for
// services that do not exist under Other, because their labels are not checked.
func (r *Registry) Answered(q call.Request, _ int, err error, duration time.Duration) {
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
		s.countRefusal(kind)
		return
	}
	s.latency.Update(microseconds(duration))
}

// CountDecision counts a decision about a request.
func (r *Registry) CountDecision(service, action string) {
	key := decisionKey{service, action}
	if known := r.decisionCounters.Load(); known != nil {
		if c := (*known)[key]; c != nil {
			c.Inc(1)
			return
		}
	}
	r.addDecisionCounter(key).Inc(1)
}

func (r *Registry) addDecisionCounter(key decisionKey) *counter {
	all := r.registry()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.services[key.service] && len(r.services) >= maxServices {
		key.service = Other
	} else {
		key.service = sanitized(key.service)
		r.services[key.service] = true
	}
	next := make(map[decisionKey]*counter)
	if known := r.decisionCounters.Load(); known != nil {
		next = maps.Clone(*known)
	}
	if c := next[key]; c != nil {
		return c
	}
	c := newCounter(all, familyDecisions, key.service, key.action)
	next[key] = c
	r.decisionCounters.Store(&next)
	return c
}

// series returns the series of the label, or the shared one if the label is over the
// bounds.
func (r *Registry) series(l Label) *series {
	if s := r.find(l); s != nil {
		return s
	}
	all := r.registry()
	r.mu.Lock()
	defer r.mu.Unlock()
	l = r.boundedLabel(Label{sanitized(l.Service), sanitized(l.Class), sanitized(l.Tenant)})
	if s := r.find(l); s != nil {
		return s
	}
	next := make(map[Label]*series)
	if known := r.seriesByLabel.Load(); known != nil {
		next = maps.Clone(*known)
	}
	s := newSeries(l, all)
	next[l] = s
	r.seriesPerService[l.Service]++
	r.seriesByLabel.Store(&next)
	return s
}

// sanitized returns the label value limited to maxLabelBytes and without invalid
// UTF-8, because one invalid value would make the whole scrape fail. The value is
// copied, so that it does not keep the memory of a request.
func sanitized(text string) string {
	return strings.Clone(strings.ToValidUTF8(text[:min(len(text), maxLabelBytes)], "?"))
}

// boundedLabel returns the label itself if the bounds allow it, otherwise one with
// Other in place of some or all values.
func (r *Registry) boundedLabel(l Label) Label {
	known := 0
	if seriesByLabel := r.seriesByLabel.Load(); seriesByLabel != nil {
		known = len(*seriesByLabel)
	}
	if r.find(l) != nil || known < maxSeries-1 && r.seriesPerService[l.Service] < maxSeriesPerService {
		return l
	}
	shared := Label{l.Service, Other, Other}
	if r.find(shared) != nil || known < maxSeries-1 {
		return shared
	}
	return Label{Other, Other, Other}
}

func (r *Registry) find(l Label) *series {
	known := r.seriesByLabel.Load()
	if known == nil {
		return nil
	}
	return (*known)[l]
}

// Gauge exports a value that is read at each scrape.
func (r *Registry) Gauge(f Family, read func() int64, values ...string) {
	g := &gauge{gometrics.NewFunctionalGauge(read), descriptor{f, values}}
	_ = r.registry().Register(g.name(), g)
}

// flush returns the figures since the last flush. Calls must not be concurrent.
func (r *Registry) flush() Figures {
	var f Figures
	if known := r.seriesByLabel.Load(); known != nil {
		for _, s := range *known {
			s.flush(&f)
		}
	}
	return f
}
