package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

// Handler serves the registry, the counters of the measuring budget and the metrics
// of the process in the Prometheus text format.
func Handler(r *Registry, limits *budget.Limiter) http.Handler {
	gatherer := prometheus.NewRegistry()
	gatherer.MustRegister(collector{r}, budgetCollector{limits}, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{DisableCompression: true})
}

// collector exports a go-metrics registry.
type collector struct{ *Registry }

// Describe implements prometheus.Collector. It describes nothing, which makes the
// collector unchecked, so that series may be added while the node runs.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry().Each(func(_ string, metric any) {
		if m, err := export(metric); err == nil && m != nil {
			out <- m
		}
	})
}

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

// Describe implements prometheus.Collector.
func (budgetCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. All servers share one series per class,
// because there may be many of them, and the budget of each is checked where it is
// spent.
func (m budgetCollector) Collect(out chan<- prometheus.Metric) {
	for _, key := range m.limits.Keys(nil) {
		if key.IsLink() {
			from, to := key.Regions()
			collectCounters(out, m.limits.Counters(key), from, to)
		}
	}
	collectCounters(out, m.limits.Total(false), "", "servers")
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
