package capacity

import (
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// point is one measured value at one size.
type point struct{ size, value float64 }

// fit returns slope and intercept of the least-squares line.
func fit(points []point) (slope, intercept float64) {
	var n, x, y, xx, xy float64
	for _, p := range points {
		n, x, y, xx, xy = n+1, x+p.size, y+p.value, xx+p.size*p.size, xy+p.size*p.value
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}

// measured keeps the points of each benchmark, because the testing package calls
// a benchmark several times and one measurement is enough.
var measured = make(map[string][]point)

// report measures once at each size and reports the slope in the unit.
func report(b *testing.B, unit string, sizes []int, measure func(b *testing.B, size int) float64) []point {
	b.Helper()
	b.StopTimer()
	b.ReportMetric(0, "ns/op")
	points, done := measured[b.Name()]
	if !done {
		// The first measurement of a process pays for what all share.
		measure(b, sizes[0])
		for _, size := range sizes {
			points = append(points, point{float64(size), measure(b, size)})
		}
		measured[b.Name()] = points
		_, fixed := fit(points)
		b.Logf("%s, fixed part %.4g: %v", unit, fixed, points)
	}
	slope, _ := fit(points)
	b.ReportMetric(slope, unit)
	return points
}

// retained returns the bytes of heap and stacks in use, once two readings after
// a collection differ by less than 1 KB. The first collections empty the pools
// of sync, which keep their content for two.
func retained() float64 {
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

// growth returns the bytes that remain in use after build.
func growth(build func() any) float64 {
	before := retained()
	kept := build()
	after := retained()
	runtime.KeepAlive(kept)
	return after - before
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for an invalid first argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a slope that is not that of the points.
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
