package daemon

import (
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"
)

const (
	// gcCheckInterval is how often the growth of the heap is adjusted.
	gcCheckInterval = time.Second
	// If the garbage collector uses more than highGCShare of one core, the heap may grow
	// more between two collections; below lowGCShare it may grow less. At the target of
	// 123 calls/s, the collector takes 3 to 11 % of a core with the smallest growth.
	highGCShare = 0.25
	lowGCShare  = 0.15
	// maxGrowth is the largest growth in percent, the default of the Go runtime.
	maxGrowth = 100
)

// gcTuner adapts how much the heap may grow between two garbage collections. Usually
// it grows by minGrowth, so that a node needs little memory. It grows by more while
// request bodies produce so much garbage that collecting it at minGrowth would use
// whole cores. A memory limit of the Go runtime is no alternative: a node with
// thousands of requests in flight needs more memory than the limit, and the garbage
// collector then uses half of the processors.
type gcTuner struct {
	// minGrowth is the smallest growth in percent; zero disables the tuning. growth is
	// the one in force.
	minGrowth, growth int
	lastCheck         time.Time
	// lastTimes are the processor times at lastCheck.
	lastTimes cpuTimes
}

// cpuTimes are seconds of processor time since the start of the process.
type cpuTimes struct {
	// process is the time that the kernel has measured for the process.
	process float64
	// gc and busy are the runtime's estimates for the garbage collector and for all
	// work. They include the time that threads wait for a processor, so on a busy host
	// they exceed the time used; only their ratio is accurate.
	gc, busy float64
}

// start puts the smallest growth in force; with zero it leaves the runtime's setting.
func (g *gcTuner) start(minGrowth int, now time.Time) {
	if minGrowth == 0 {
		return
	}
	g.minGrowth, g.growth, g.lastCheck, g.lastTimes = minGrowth, minGrowth, now, readCPUTimes()
	debug.SetGCPercent(minGrowth)
}

// adjust adapts the growth to the time that garbage collection took since the last
// check. It may wait for a running collection, so the tick must not call it.
func (g *gcTuner) adjust(now time.Time) {
	elapsed := now.Sub(g.lastCheck)
	if g.minGrowth == 0 || elapsed < gcCheckInterval {
		return
	}
	times := readCPUTimes()
	next := g.next(times.gcSecondsSince(g.lastTimes) / elapsed.Seconds())
	g.lastCheck, g.lastTimes = now, times
	if next != g.growth {
		g.growth = next
		debug.SetGCPercent(next)
	}
}

// next returns the growth that follows a period in which garbage collection took the
// given share of a core.
func (g *gcTuner) next(share float64) int {
	switch {
	case share > highGCShare:
		return max(g.minGrowth, min(g.growth*2, maxGrowth))
	case share < lowGCShare:
		return max(g.minGrowth, g.growth/2)
	default:
		return g.growth
	}
}

// gcSecondsSince returns the seconds of processor time that garbage collection took
// since earlier.
func (t cpuTimes) gcSecondsSince(earlier cpuTimes) float64 {
	busy := t.busy - earlier.busy
	if busy <= 0 {
		return 0 // no collection has ended since then
	}
	return (t.process - earlier.process) * (t.gc - earlier.gc) / busy
}

// readCPUTimes returns the processor times of this process. The time of the garbage
// collector excludes its work on processors that would be idle otherwise.
func readCPUTimes() cpuTimes {
	samples := []metrics.Sample{
		{Name: "/cpu/classes/gc/total:cpu-seconds"},
		{Name: "/cpu/classes/gc/mark/idle:cpu-seconds"},
		{Name: "/cpu/classes/total:cpu-seconds"},
		{Name: "/cpu/classes/idle:cpu-seconds"},
	}
	metrics.Read(samples)
	value := func(i int) float64 { return samples[i].Value.Float64() }
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // fails only for an invalid first argument
	return cpuTimes{
		process: float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second),
		gc:      value(0) - value(1),
		busy:    value(2) - value(3),
	}
}
