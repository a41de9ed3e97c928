package capacity

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// point is the value that was measured at one size.
type point struct{ size, value float64 }

// fit returns the slope and the intercept of the least-squares line through the
// points.
func fit(points []point) (slope, intercept float64) {
	var n, x, y, xx, xy float64
	for _, p := range points {
		n, x, y, xx, xy = n+1, x+p.size, y+p.value, xx+p.size*p.size, xy+p.size*p.value
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

// measurements caches the points by benchmark, because the testing package calls a
// benchmark several times and one measurement is enough.
var measurements = make(map[string][]point)

// report measures once at each size and reports the slope as the metric of the
// benchmark.
func report(b *testing.B, unit string, sizes []int, measure func(b *testing.B, size int) float64) []point {
	b.Helper()
	b.StopTimer()
	b.ReportMetric(0, "ns/op")
	points, done := measurements[b.Name()]
	if !done {
		// The first measurement of a process allocates memory that all share.
		measure(b, sizes[0])
		for _, size := range sizes {
			points = append(points, point{float64(size), measure(b, size)})
		}
		measurements[b.Name()] = points
		_, intercept := fit(points)
		b.Logf("%s, fixed part %.4g: %v", unit, intercept, points)
	}
	slope, _ := fit(points)
	b.ReportMetric(slope, unit)
	return points
}

// memoryInUse returns the bytes of heap and stacks in use, as soon as two readings
// after a garbage collection differ by less than 1 KB. The first collections empty
// every sync.Pool, which keeps its content for two collections.
func memoryInUse() float64 {
	var stats runtime.MemStats
	var last uint64
	for range 3 {
		runtime.GC()
	}
	for range 20 {
		runtime.GC()
		runtime.ReadMemStats(&stats)
		used := stats.HeapAlloc + stats.StackInuse
		if max(used, last)-min(used, last) < 1<<10 {
			return float64(used)
		}
		last = used
	}
	return float64(last)
}

// memoryGrowth returns the bytes that the value returned by build keeps in use.
func memoryGrowth(build func() any) float64 {
	before := memoryInUse()
	kept := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return after - before
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for an invalid first argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a wrong slope or intercept of the fitted line.
func TestFit(t *testing.T) {
	cases := map[string]struct {
		points           []point
		slope, intercept float64
	}{
		"line":      {[]point{{0, 5}, {10, 25}, {20, 45}}, 2, 5},
		"constant":  {[]point{{1, 3}, {2, 3}}, 0, 3},
		"scattered": {[]point{{0, 0}, {1, 3}, {2, 0}, {3, 3}}, 0.6, 0.6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			slope, intercept := fit(tc.points)
			assert.Assert(t, slope-tc.slope < 1e-9 && tc.slope-slope < 1e-9, "slope %v", slope)
			assert.Assert(t, intercept-tc.intercept < 1e-9 && tc.intercept-intercept < 1e-9, "intercept %v", intercept)
		})
	}
}
