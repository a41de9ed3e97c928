package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillasail/vanillasail/internal/load"
)

const (
	maxLatency        = 60_000_000 // microseconds
	significantDigits = 3
)

// benchSlots is the number of slots of each backend server. It is more than chains of
// calls can occupy, so that no request waits for a slot.
const benchSlots = 1000

// BenchOptions holds the parameters of Bench.
type BenchOptions struct {
	Nodes int
	// Rate is the number of requests per second for each variant.
	Rate int
	Time time.Duration
	// Depth is the number of calls in the chain of the last variant.
	Depth int
	JSON  bool
	Out   io.Writer
}

// Result holds the measurements of one variant of sending a request.
type Result struct {
	Variant string  `json:"way"`
	N       int64   `json:"n"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
	// AddedP99 is the difference between the p99 of this variant and that of direct
	// requests, divided by the number of hops.
	AddedP99 float64 `json:"added_p99_ms"`
	Errors   int64   `json:"errors"`
}

// variant is one way to send a request, with its measurements.
type variant struct {
	name, url string
	hops      int
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	errors    int64
}

// Bench measures the latency that nodes add to requests. It sends the same request
// directly to a backend server, through a node, and through a chain of calls. The
// variants alternate in one run, so that other load on the machine affects all of
// them.
func Bench(ctx context.Context, o BenchOptions) error {
	s := &cluster{Options: Options{Nodes: o.Nodes, Slots: benchSlots, Out: o.Out}}
	defer s.kill()
	if err := s.start(ctx); err != nil {
		return err
	}
	for _, b := range s.servers {
		b.Delay = 0
	}
	variants := []*variant{
		{name: "direct", url: "http://" + s.servers[0].Addr() + "/stock/item"},
		{name: "one hop", url: "http://" + s.nodes[0].CallerAddr() + "/stock/item", hops: 1},
		{name: fmt.Sprintf("%d hops", o.Depth), url: fmt.Sprintf("http://%s/stock/item?chain=%d", s.nodes[0].CallerAddr(), o.Depth-1), hops: o.Depth},
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s.sendAtRate(ctx, o, variants)
	runtime.ReadMemStats(&after)
	results := make([]Result, len(variants))
	for i, v := range variants {
		results[i] = v.result(variants[0])
	}
	return printResults(o, results, before, after)
}

// sendAtRate sends one request of each variant per tick, at a fixed rate, until
// o.Time has passed.
func (s *cluster) sendAtRate(ctx context.Context, o BenchOptions, variants []*variant) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	for _, v := range variants {
		v.latency = hdrhistogram.New(1, maxLatency, significantDigits)
	}
	tick := time.NewTicker(time.Second / time.Duration(o.Rate))
	defer tick.Stop()
	ctx, cancel := context.WithTimeout(ctx, o.Time)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-tick.C:
			for _, v := range variants {
				wg.Go(func() { v.send(client) })
			}
		case <-ctx.Done():
			return
		}
	}
}

func (v *variant) send(client *http.Client) {
	start := time.Now()
	response, err := client.Get(v.url)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	elapsed := time.Since(start)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil || response.StatusCode != http.StatusOK {
		v.errors++
		return
	}
	_ = v.latency.RecordValue(elapsed.Microseconds())
}

func (v *variant) result(direct *variant) Result {
	r := Result{
		Variant: v.name, N: v.latency.TotalCount(), Errors: v.errors,
		P50:  load.Millis(v.latency.ValueAtPercentile(50)),
		P99:  load.Millis(v.latency.ValueAtPercentile(99)),
		P999: load.Millis(v.latency.ValueAtPercentile(99.9)),
	}
	if v.hops > 0 {
		r.AddedP99 = (r.P99 - load.Millis(direct.latency.ValueAtPercentile(99))) / float64(v.hops)
	}
	return r
}

func printResults(o BenchOptions, results []Result, before, after runtime.MemStats) error {
	if o.JSON {
		return json.NewEncoder(o.Out).Encode(results)
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "way\tn\terrors\tp50 ms\tp99 ms\tp99.9 ms\tadded p99 ms a hop\t")
	var n int64
	for _, r := range results {
		n += r.N
		fmt.Fprintf(w, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Variant, r.N, r.Errors, r.P50, r.P99, r.P999, r.AddedP99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "%d allocations and %d bytes for each request sent, callers and stand-ins included\n",
		(after.Mallocs-before.Mallocs)/uint64(max(n, 1)), (after.TotalAlloc-before.TotalAlloc)/uint64(max(n, 1)))
	return nil
}
