package metrics

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// Range and precision of the histograms, in microseconds: two significant digits from
// 8 us to one minute, which is longer than any request may take. All counts of one
// histogram take 17 KB.
const (
	lowest  = 8
	highest = 60_000_000
	digits  = 2
)

// bucketBounds are the upper bounds of the exported buckets, in microseconds. They
// are dense around the goal of 1.9 ms.
var bucketBounds = [...]int64{
	500, 1_000, 2_000, 3_000, 5_000, 10_000, 20_000, 50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000, 30_000_000,
}

func newHDR() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }

// histogram is a go-metrics histogram of the current interval. It also counts all
// values since the start in buckets for Prometheus. The methods of NilHistogram that
// it does not override return zero values.
type histogram struct {
	gometrics.NilHistogram
	descriptor

	mu       sync.Mutex
	interval sparseCounts
	// buckets holds the number of values between each bound and the one before, since
	// the start.
	buckets    [len(bucketBounds)]int64
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
	for i, bound := range bucketBounds {
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

// Percentile returns the quantile q, between 0 and 1, of the current interval.
func (h *histogram) Percentile(q float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := emptyCounts()
	unpack(counts, h.interval.pack())
	return float64(fromCounts(counts).ValueAtQuantile(100 * q))
}

// Percentiles returns several quantiles of the current interval.
func (h *histogram) Percentiles(qs []float64) []float64 {
	values := make([]float64, len(qs))
	for i, q := range qs {
		values[i] = h.Percentile(q)
	}
	return values
}

// Snapshot returns the histogram itself, because all its methods lock.
func (h *histogram) Snapshot() gometrics.Histogram { return h }

// export returns the count, the sum in seconds and the cumulative buckets by bound in
// seconds, as Prometheus expects them.
func (h *histogram) export() (count uint64, seconds float64, buckets map[float64]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	buckets = make(map[float64]uint64, len(bucketBounds))
	var cumulative uint64
	for i, bound := range bucketBounds {
		cumulative += uint64(h.buckets[i])
		buckets[float64(bound)/1e6] = cumulative
	}
	return uint64(h.count), float64(h.sum) / 1e6, buckets
}

// flush ends the current interval and returns its packed counts, or nil if it has no
// values.
func (h *histogram) flush() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	packed := h.interval.pack()
	h.interval = sparseCounts{}
	return packed
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }
