package metrics

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

func request(service, tenant string) call.Request {
	return call.Request{ID: "id", Service: service, Class: "lookup", Tenant: tenant}
}

func scrape(r *Registry, limits *budget.Limiter) (status int, text string) {
	w := httptest.NewRecorder()
	Handler(r, limits).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Code, w.Body.String()
}

// Guards against callers that exhaust the memory by sending arbitrary tenants,
// classes and services.
func TestLabelsAreBounded(t *testing.T) {
	cases := map[string]struct {
		services, tenants int
		want              int
	}{
		"one service":   {1, 1000, maxSeriesPerService + 1},
		"few services":  {3, 200, 3 * (maxSeriesPerService + 1)},
		"many services": {500, 10, maxSeries},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var r Registry
			for s := range tc.services {
				for tenant := range tc.tenants {
					r.Answered(request(fmt.Sprint("s", s), fmt.Sprint("t", tenant)), 200, nil, time.Millisecond)
					r.CountDecision(fmt.Sprint("s", s), "place")
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			seriesByLabel := *r.seriesByLabel.Load()
			bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			t.Logf("%d series, %d KB", len(seriesByLabel), bytes>>10)
			assert.Equal(t, len(seriesByLabel), tc.want)
			// A node may take 32 MB, of which 2 MB are for metrics.
			assert.Assert(t, bytes < 2<<20, "%d bytes", bytes)
			assert.Assert(t, len(r.services) <= maxServices)
			total := int64(0)
			for _, s := range seriesByLabel {
				total += s.latency.Count()
			}
			assert.Equal(t, total, int64(tc.services*tc.tenants), "requests with labels over the bounds are not counted")
		})
	}
}

// Guards against metric names that change or are missing in docs/operators.md, and
// against label values of callers that make the whole scrape fail.
func TestNamesOfMetrics(t *testing.T) {
	var r Registry
	var limits budget.Limiter
	limits.Allow(budget.Control, 100, time.Now(), budget.Link("poa", "cwb"))
	r.Answered(request("stock", "not\xffutf8"), 200, nil, time.Millisecond)
	r.Answered(request("stock", "not\xfeutf8"), 503, fault.New(fault.KindOverloaded, "x"), time.Millisecond)
	r.Answered(request("nosuch", "geada"), 404, fault.New(fault.KindUnknownService, "x"), time.Millisecond)
	r.CountDecision("stock", "retry")
	for _, f := range []Family{ServerSlots, PeerLinks, Members, ConfigVersion} {
		r.Gauge(f, func() int64 { return 1 })
	}
	r.Gauge(ServerRequests, func() int64 { return 1 }, "queued")
	r.Gauge(CallerConnections, func() int64 { return 1 }, "open")
	status, text := scrape(&r, &limits)
	assert.Equal(t, status, 200, text)
	names := regexp.MustCompile(`(?m)^# (?:TYPE|HELP) vanillasail_.*$`).FindAllString(text, -1)
	golden.Assert(t, strings.Join(names, "\n")+"\n", "names.golden")
	doc, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	for _, line := range names {
		name := strings.Fields(line)[2]
		assert.Assert(t, strings.Contains(string(doc), "| `"+name+"` |"), "%s is not in docs/operators.md", name)
	}
	assert.Assert(t, !strings.Contains(text, "nosuch"), "a service name chosen by a caller became a label value")
	for _, line := range []string{
		`vanillasail_request_latency_seconds_bucket{class="lookup",service="stock",tenant="not?utf8",le="0.001"} 1`,
		`vanillasail_refusals_total{class="lookup",kind="overloaded",service="stock",tenant="not?utf8"} 1`,
		`vanillasail_measuring_bytes_total{class="control",from="poa",to="cwb",verdict="spent"} 100`,
	} {
		assert.Assert(t, strings.Contains(text, line), "%s\n%s", line, text)
	}
}

// Guards against a counter of all servers that falls when an idle server is evicted, which
// Prometheus takes for a restart.
func TestCounterOfAllServersDoesNotFall(t *testing.T) {
	var r Registry
	var limits budget.Limiter
	now := time.Now()
	limits.Allow(budget.Control, 100, now, budget.Server("a"), budget.Link("poa", "cwb"))
	for end := now.Add(time.Hour); now.Before(end); now = now.Add(100 * time.Millisecond) {
		limits.Tick(now)
	}
	assert.Equal(t, len(limits.Keys(nil)), 0)
	_, text := scrape(&r, &limits)
	want := `vanillasail_measuring_bytes_total{class="control",from="",to="servers",verdict="spent"} 100`
	assert.Assert(t, strings.Contains(text, want), text)
	spent, _ := limits.Total(true).Total()
	assert.Equal(t, spent.Bytes, uint64(100))
}

// Guards against counts that are lost if requests end while an interval is flushed or
// a scrape runs.
func TestConcurrentRequestsAreAllCounted(t *testing.T) {
	var r Registry
	var limits budget.Limiter
	h := History{Registry: &r, Limits: &limits}
	now := time.Now()
	h.Tick(now, 1)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 500 {
				r.Answered(request("stock", fmt.Sprint(n%100)), 200, nil, time.Millisecond)
				if i == 0 && n%100 == 0 {
					h.WindowsAround(now.Add(time.Duration(n+1)*time.Millisecond), 1)
					scrape(&r, &limits)
				}
			}
		})
	}
	group.Wait()
	var sum Sum
	sum.Add(h.WindowsAround(now.Add(time.Second), 1).After.Figures)
	total := int64(0)
	for _, histogram := range sum.Histograms() {
		total += histogram.TotalCount()
	}
	assert.Equal(t, total, int64(4000))
}

// Guards against windows around a change that include the time of another version,
// and against figures that are counted twice.
func TestWindowsHoldOneVersionEach(t *testing.T) {
	var r Registry
	var limits budget.Limiter
	h := History{Registry: &r, Limits: &limits}
	now := time.Now()
	step := func(d time.Duration, version uint64, latency time.Duration) {
		h.Tick(now, version)
		r.Answered(request("stock", "geada"), 200, nil, latency)
		r.Answered(request("stock", "geada"), 503, fault.New(fault.KindOverloaded, "x"), latency)
		limits.Allow(budget.Control, int(version), now, budget.Link("poa", "cwb"))
		now = now.Add(d)
	}
	for range 2 * int(retention/flushInterval) {
		step(flushInterval, 6, time.Second)
	}
	assert.Assert(t, len(h.intervals) <= int(retention/flushInterval)+1, "%d intervals are kept", len(h.intervals))
	for range 10 {
		step(time.Second, 7, time.Millisecond)
	}
	step(time.Second, 8, 40*time.Millisecond)
	step(time.Second, 9, time.Second)
	w := h.WindowsAround(now, 8)
	assert.Equal(t, w.Before.From-w.Before.To, 10*time.Second)
	assert.Equal(t, w.After.From, 2*time.Second)
	assert.Equal(t, w.After.To, time.Second)
	for window, want := range map[*Window]struct{ latency, requests, bytes int64 }{w.Before: {1, 10, 70}, w.After: {40, 1, 8}} {
		var sum Sum
		sum.Add(window.Figures)
		histogram := sum.Histograms()[Label{"stock", "lookup", "geada"}]
		assert.Equal(t, histogram.TotalCount(), want.requests)
		assert.Assert(t, histogram.ValueAtQuantile(99) < (want.latency+1)*1000)
		assert.DeepEqual(t, window.Refusals, Refusals{{Label{"stock", "lookup", "geada"}, "overloaded", want.requests}})
		assert.DeepEqual(t, window.Links, Links{{"poa", "cwb", want.bytes}})
	}
	assert.Equal(t, h.WindowsAround(now, 6).After.From <= retention+flushInterval+12*time.Second, true)
	assert.Assert(t, h.WindowsAround(now, 20).After == nil)
}

// Guards against a crash of the node that merges a malformed reply or one from another
// version of the program.
func TestMalformedCountsAreIgnored(t *testing.T) {
	for name, packed := range map[string][]byte{
		"cut short": {1}, "beyond the end": {0xff, 0xff, 0x7f, 1}, "not a varint": slices.Repeat([]byte{0xff}, 12),
	} {
		t.Run(name, func(t *testing.T) {
			counts := emptyCounts()
			unpack(counts, packed)
			assert.DeepEqual(t, counts, emptyCounts())
		})
	}
}

// Guards against sparse counts with indexes other than those of HdrHistogram, which
// decodes them for reports.
func TestSparseCountsMatchHdrHistogram(t *testing.T) {
	const seed = 5
	random := rand.New(rand.NewPCG(seed, 0))
	want, got := newHDR(), sparseCounts{}
	for i := range 20000 {
		v := min(int64(i), int64(math.Exp(random.Float64()*math.Log(highest))))
		if i%2 == 0 {
			v = int64(math.Exp(random.Float64() * math.Log(highest)))
		}
		assert.NilError(t, want.RecordValue(v))
		got.add(v)
	}
	for _, v := range []int64{0, lowest, 2047, 2048, highest} {
		assert.NilError(t, want.RecordValue(v))
		got.add(v)
	}
	assert.DeepEqual(t, got.pack(), pack(want.Export().Counts))
}

// Guards against allocations on the request path.
func TestRecordingDoesNotAllocate(t *testing.T) {
	var r Registry
	q := request("stock", "geada")
	refusal := fault.New(fault.KindOverloaded, "x")
	record := func() {
		r.Answered(q, 200, nil, time.Millisecond)
		r.Answered(q, 503, refusal, time.Millisecond)
		r.CountDecision("stock", "place")
	}
	record()
	assert.Equal(t, testing.AllocsPerRun(100, record), 0.0)
}

func BenchmarkAnswered(b *testing.B) {
	for _, labels := range []int{1, 64} {
		b.Run(fmt.Sprint("labels=", labels), func(b *testing.B) {
			var r Registry
			requests := make([]call.Request, labels)
			for i := range requests {
				requests[i] = request("stock", fmt.Sprint("t", i))
				r.Answered(requests[i], 200, nil, time.Millisecond)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				r.Answered(requests[i%labels], 200, nil, 3*time.Millisecond)
			}
		})
	}
}

func BenchmarkCountDecision(b *testing.B) {
	var r Registry
	b.ReportAllocs()
	for b.Loop() {
		r.CountDecision("stock", "place")
	}
}
