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
	maxLatency = 60_000_000 // microseconds
	digits     = 3
)

// benchSlots is more than a chain of calls can hold, so that no request waits.
const benchSlots = 1000

// BenchOptions are the size of a measurement of added latency.
type BenchOptions struct {
	Nodes int
	// Rate is the number of requests a second for each way.
	Rate int
	Time time.Duration
	// Depth is the length of the chain of calls in the last way.
	Depth int
	JSON  bool
	Out   io.Writer
}

// Result is what was measured for one way of sending a request.
type Result struct {
	Variant  string  `json:"way"`
	N    int64   `json:"n"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// AddedP99 is the p99 above that of the direct way, for each hop.
	AddedP99 float64 `json:"added_p99_ms"`
	Errors  int64   `json:"errors"`
}

// way is one way of sending a request.
type way struct {
	name, url string
	hops      int
	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	errors    int64
}

// Bench measures the latency that nodes add: the same request sent straight to
// a backend server, through a node, and through a chain of calls, taking turns
// in the same run because the machine is shared.
func Bench(ctx context.Context, o BenchOptions) error {
	s := &system{Options: Options{Nodes: o.Nodes, Slots: benchSlots, Out: o.Out}}
	defer s.kill()
	if err := s.start(ctx); err != nil {
		return err
	}
	for _, b := range s.servers {
		b.Delay = 0
	}
	ways := []*way{
		{name: "direct", url: "http://" + s.servers[0].Addr() + "/stock/item"},
		{name: "one hop", url: "http://" + s.nodes[0].CallerAddr() + "/stock/item", hops: 1},
		{name: fmt.Sprintf("%d hops", o.Depth), url: fmt.Sprintf("http://%s/stock/item?chain=%d", s.nodes[0].CallerAddr(), o.Depth-1), hops: o.Depth},
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	s.pace(ctx, o, ways)
	runtime.ReadMemStats(&after)
	results := make([]Result, len(ways))
	for i, w := range ways {
		results[i] = w.result(ways[0])
	}
	return printResults(o, results, before, after)
}

// pace sends one request of each way in turn at a fixed rate.
func (s *system) pace(ctx context.Context, o BenchOptions, ways []*way) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	for _, w := range ways {
		w.latency = hdrhistogram.New(1, maxLatency, digits)
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
			for _, w := range ways {
				wg.Go(func() { w.send(client) })
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *way) send(client *http.Client) {
	start := time.Now()
	response, err := client.Get(w.url)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(start)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || response.StatusCode != http.StatusOK {
		w.errors++
		return
	}
	_ = w.latency.RecordValue(took.Microseconds())
}

func (w *way) result(direct *way) Result {
	r := Result{
		Variant: w.name, N: w.latency.TotalCount(), Errors: w.errors,
		P50:  load.Millis(w.latency.ValueAtPercentile(50)),
		P99:  load.Millis(w.latency.ValueAtPercentile(99)),
		P999: load.Millis(w.latency.ValueAtPercentile(99.9)),
	}
	if w.hops > 0 {
		r.AddedP99 = (r.P99 - load.Millis(direct.latency.ValueAtPercentile(99))) / float64(w.hops)
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
