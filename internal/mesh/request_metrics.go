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
	// sampleSize is how many latencies of a route are kept; with 512 the 99th
	// percentile is accurate to half a percent of rank.
	sampleSize = 512
	// sampleDecay weights the sample towards about the last five minutes.
	sampleDecay = 0.015
)

// requestMetrics counts requests and their latencies by route, service and result.
// The zero value is empty.
type requestMetrics struct {
	mu       sync.Mutex
	registry metrics.Registry
}

// observe records the end of a request that a caller sent to this node.
func (rm *requestMetrics) observe(r call.Request, answer *call.Answer, err error, took time.Duration) {
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
	registry := rm.get()
	metrics.GetOrRegisterCounter(seriesName("requests", r, result), registry).Inc(1)
	histogram := registry.GetOrRegister(seriesName("latency", r, result), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(took.Microseconds())
	}
}

func (rm *requestMetrics) get() metrics.Registry {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	if rm.registry == nil {
		rm.registry = metrics.NewRegistry()
	}
	return rm.registry
}

func seriesName(name string, r call.Request, result string) string {
	return name + "|" + r.Route + "|" + r.Service + "|" + result
}

// text returns all metrics as sorted lines of the form name{labels} value.
func (rm *requestMetrics) text() string {
	var lines []string
	rm.get().Each(func(name string, i any) {
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
