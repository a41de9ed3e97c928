package daemon

import (
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"
)

const (
	// collectorPeriod is how often the growth of the heap is looked at.
	collectorPeriod = time.Second
	// busyCollector and idleCollector are the shares of a core that the collector
	// may take before the heap may grow more, and below which it may grow less.
	// At the target's 123 calls/s the least growth takes 3 to 11 %.
	busyCollector = 0.25
	idleCollector = 0.15
	// mostGrowth is the default of the Go runtime.
	mostGrowth = 100
)

// collector bounds what the garbage collector costs in memory and in processor
// time. The heap may grow by the least share between two collections, so that
// the state of a node stays small, and by more while bodies of requests make so
// much garbage that this would take cores. A memory limit of the runtime does
// not do: a node with thousands of requests in flight needs more than the limit,
// and the collector then takes half of the processors.
type collector struct {
	// least is the smallest growth in percent; zero leaves the collector alone.
	least, growth int
	at            time.Time
	// spent is what the process had used at that time.
	spent processorTimes
}

// processorTimes are seconds of processor time since the start of the process.
type processorTimes struct {
	// process is measured by the kernel.
	process float64
	// collector and busy are the runtime's estimates for the collector and for all
	// work. They count the time that threads wait for a processor, so on a busy
	// host they exceed what was used; only their ratio is a measure.
	collector, busy float64
}

// start sets the least growth.
func (c *collector) start(least int, now time.Time) {
	if least == 0 {
		return
	}
	c.least, c.growth, c.at, c.spent = least, least, now, usedProcessor()
	debug.SetGCPercent(least)
}

// follow adapts the growth to what the collector took in the last period. It may
// wait for a running collection, so that it must not be called by the tick.
func (c *collector) follow(now time.Time) {
	passed := now.Sub(c.at)
	if c.least == 0 || passed < collectorPeriod {
		return
	}
	spent := usedProcessor()
	next := c.next(spent.collectorSince(c.spent) / passed.Seconds())
	c.at, c.spent = now, spent
	if next != c.growth {
		c.growth = next
		debug.SetGCPercent(next)
	}
}

// next returns the growth after a period in which the collector took a share of
// a core.
func (c *collector) next(share float64) int {
	switch {
	case share > busyCollector:
		return max(c.least, min(c.growth*2, mostGrowth))
	case share < idleCollector:
		return max(c.least, c.growth/2)
	default:
		return c.growth
	}
}

// collectorSince returns the seconds of processor time that the collector took
// since earlier.
func (t processorTimes) collectorSince(earlier processorTimes) float64 {
	busy := t.busy - earlier.busy
	if busy <= 0 {
		return 0 // no collection has ended since then
	}
	return (t.process - earlier.process) * (t.collector - earlier.collector) / busy
}

// usedProcessor returns the times of this process. The collector's leave out
// what it does on idle processors.
func usedProcessor() processorTimes {
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
	return processorTimes{
		process:   float64(usage.Utime.Nano()+usage.Stime.Nano()) / float64(time.Second),
		collector: value(0) - value(1),
		busy:      value(2) - value(3),
	}
}
