package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

// Handler serves the metrics of the registry, of the measuring budget and of the
// process in the Prometheus text format.
func Handler(r *Registry, limits *budget.Limiter) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{r}, budgetCollector{limits}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{DisableCompression: true})
}

// collector exports the metrics of a Registry to Prometheus.
type collector struct{ *Registry }

// Describe implements prometheus.Collector. It sends no descriptors, which makes the
// collector unchecked: series may be added while the node runs.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry().Each(func(_ string, metric any) {
		if m, err := export(metric); err == nil && m != nil {
			out <- m
		}
	})
}

// export converts a go-metrics metric. It returns nil for a metric of another type
// than this package registers.
func export(metric any) (prometheus.Metric, error) {
	switch m := metric.(type) {
	case *counter:
		return prometheus.NewConstMetric(m.family.desc, prometheus.CounterValue, float64(m.Count()), m.values...)
	case *gauge:
		return prometheus.NewConstMetric(m.family.desc, prometheus.GaugeValue, float64(m.Value()), m.values...)
	case *histogram:
		count, sum, buckets := m.export()
		return prometheus.NewConstHistogram(m.family.desc, count, sum, buckets, m.values...)
	}
	return nil, nil
}

// budgetCollector exports the counters of the measuring budget.
type budgetCollector struct{ limits *budget.Limiter }

// Describe implements prometheus.Collector. It sends no descriptors, as that of
// collector.
func (budgetCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It exports one series per link, but only
// the sum over all servers, because there may be many of them and the limiter
// enforces the budget of each.
func (c budgetCollector) Collect(out chan<- prometheus.Metric) {
	for _, key := range c.limits.Keys(nil) {
		if key.IsLink() {
			from, to := key.Regions()
			collectCounters(out, c.limits.Counters(key), from, to)
		}
	}
	// Total(false) returns the sum over the servers.
	collectCounters(out, c.limits.Total(false), "", "servers")
}

func collectCounters(out chan<- prometheus.Metric, c budget.Counters, from, to string) {
	verdicts := map[string]*[budget.Classes]budget.Count{"spent": &c.Spent, "denied": &c.Denied}
	for verdict, counts := range verdicts {
		for class, n := range counts {
			labels := []string{from, to, budget.Class(class).String(), verdict}
			out <- prometheus.MustNewConstMetric(familyMessages.desc, prometheus.CounterValue, float64(n.Messages), labels...)
			out <- prometheus.MustNewConstMetric(familyBytes.desc, prometheus.CounterValue, float64(n.Bytes), labels...)
		}
	}
}
