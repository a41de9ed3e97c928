package mesh

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// sampleSize is how many latencies of a route are kept; the 99th percentile of
	// 512 is known within half a percent of rank.
	sampleSize = 512
	// sampleDecay weighs recent latencies: about the last five minutes.
	sampleDecay = 0.015
)

// figures counts what happened to requests, by route. The zero value is empty.
type figures struct {
	mu       sync.Mutex
	registry metrics.Registry
}

// answered records the end of a request that entered here.
func (f *figures) answered(r call.Request, answer *call.Answer, err error, took time.Duration) {
	result := "answered"
	switch {
	case err != nil:
		result = "failed"
		if fault.As(err).Outcome == fault.Refused {
			result = "refused"
		}
	case answer.Status >= http.StatusInternalServerError:
		result = "server-error"
	}
	registry := f.get()
	metrics.GetOrRegisterCounter(series("requests", r, result), registry).Inc(1)
	histogram := registry.GetOrRegister(series("latency", r, result), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(took.Microseconds())
	}
}

func (f *figures) get() metrics.Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registry == nil {
		f.registry = metrics.NewRegistry()
	}
	return f.registry
}

func series(name string, r call.Request, result string) string {
	return name + "|" + r.Route + "|" + r.Service + "|" + result
}

// text writes all figures as lines of name{labels} value, sorted.
func (f *figures) text() string {
	var lines []string
	f.get().Each(func(name string, i any) {
		part := strings.Split(name, "|")
		if len(part) != 4 {
			return
		}
		labels := fmt.Sprintf("route=%q,service=%q,result=%q", part[1], part[2], part[3])
		switch m := i.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("vanillasail_%s_total{%s} %d", part[0], labels, m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
				lines = append(lines, fmt.Sprintf("vanillasail_%s_seconds{%s,quantile=\"%g\"} %.6f", part[0], labels, q, s.Percentile(q)/1e6))
			}
			lines = append(lines, fmt.Sprintf("vanillasail_%s_seconds_count{%s} %d", part[0], labels, s.Count()))
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}
