package metrics

import (
	"maps"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Label identifies the requests that a figure counts.
type Label struct {
	Service string `msgpack:"s"`
	Class   string `msgpack:"c"`
	Tenant  string `msgpack:"t"`
}

// Other replaces the label values of series over the bounds.
const Other = "other"

// series holds the metrics of one label.
type series struct {
	Label
	registry gometrics.Registry
	latency  histogram
	// outcomes counts requests by fault.Outcome.
	outcomes [fault.Ran + 1]*counter

	mu sync.Mutex
	// refused holds one counter for each kind of refusal that has occurred.
	refused map[fault.Kind]*counter
	// lastFlushed holds the counts of refused at the last flush.
	lastFlushed map[fault.Kind]int64
}

func newSeries(l Label, registry gometrics.Registry) *series {
	s := &series{Label: l, registry: registry, refused: make(map[fault.Kind]*counter), lastFlushed: make(map[fault.Kind]int64)}
	s.latency.descriptor = descriptor{familyLatency, []string{l.Service, l.Class, l.Tenant}}
	_ = registry.Register(s.latency.name(), &s.latency)
	for o := range s.outcomes {
		s.outcomes[o] = newCounter(registry, familyRequests, l.Service, l.Class, l.Tenant, fault.Outcome(o).String())
	}
	return s
}

func (s *series) countRefusal(kind fault.Kind) {
	s.mu.Lock()
	c := s.refused[kind]
	if c == nil {
		c = newCounter(s.registry, familyRefusals, s.Service, s.Class, s.Tenant, string(kind))
		s.refused[kind] = c
	}
	s.mu.Unlock()
	c.Inc(1)
}

// flush adds the figures since the last flush to f.
func (s *series) flush(f *Figures) {
	if packed := s.latency.flush(); packed != nil {
		f.Latency = append(f.Latency, Latency{s.Label, packed})
	}
	s.mu.Lock()
	refused := maps.Clone(s.refused)
	s.mu.Unlock()
	for kind, c := range refused {
		total := c.Count()
		if n := total - s.lastFlushed[kind]; n > 0 {
			f.Refusals = append(f.Refusals, Refusal{s.Label, string(kind), n})
		}
		s.lastFlushed[kind] = total
	}
}
