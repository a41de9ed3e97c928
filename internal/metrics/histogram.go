package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Geometry of the histograms, in microseconds: two digits from 8 us up to a
// minute, which is longer than any request may take. All counts of one take
// 17 KB.
const (
	lowest  = 8
	highest = 60_000_000
	digits  = 2
)

// bounds are the upper bounds of the exported buckets, in microseconds. They
// are dense around the goal of 1.9 ms.
var bounds = [...]int64{
	500, 1_000, 2_000, 3_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000, 30_000_000,
}

func newHDR() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// histogram is a go-metrics histogram of the current interval, with cumulative
// buckets for scrapers. Methods that are not overridden report nothing.
type histogram struct {
	gometrics.NilHistogram
	described

	mu       sync.Mutex
	interval sparseCounts
	// buckets count values up to each bound since the start; not cumulative.
	buckets    [len(bounds)]int64
	count, sum int64
}

// Update records a value in microseconds.
func (h *histogram) Update(v int64) {
	v = min(max(v, 0), highest)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interval.add(v)
	h.count++
	h.sum += v
	for i, bound := range bounds {
		if v <= bound {
			h.buckets[i]++
			return
		}
	}
}

// Count returns the number of values since the start.
func (h *histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count
}

// Sum returns the sum of the values since the start.
func (h *histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Percentile returns a quantile, 0 to 1, of the current interval.
func (h *histogram) Percentile(q float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := emptyCounts()
	unpack(counts, h.interval.pack())
	return float64(fromCounts(counts).ValueAtQuantile(100 * q))
}

// Percentiles returns quantiles of the current interval.
func (h *histogram) Percentiles(qs []float64) []float64 {
	values := make([]float64, len(qs))
	for i, q := range qs {
		values[i] = h.Percentile(q)
	}
	return values
}

// Snapshot returns the histogram itself, since all its methods lock.
func (h *histogram) Snapshot() gometrics.Histogram { return h }

// export returns what scrapers read: cumulative counts by bound in seconds.
func (h *histogram) export() (count uint64, seconds float64, buckets map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	buckets = make(map[float64]uint64, len(bounds))
	var below uint64
	for i, bound := range bounds {
		below += uint64(h.buckets[i])
		buckets[float64(bound)/1e6] = below
	}
	return uint64(h.count), float64(h.sum) / 1e6, buckets
}

// cut ends the current interval and returns its counts, or nil for none.
func (h *histogram) cut() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	packed := h.interval.pack()
	h.interval = sparseCounts{}
	return packed
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }
