package daemon

import (
	"runtime/debug"
	"runtime/metrics"
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
	// spent is the processor time of the collector in seconds.
	spent float64
}

// start sets the least growth.
func (c *collector) start(least int, now time.Time) {
	if least == 0 {
		return
	}
	c.least, c.growth, c.at, c.spent = least, least, now, collectorTime()
	debug.SetGCPercent(least)
}

// follow adapts the growth to what the collector took in the last period. It may
// wait for a running collection, so that it must not be called by the tick.
func (c *collector) follow(now time.Time) {
	passed := now.Sub(c.at)
	if c.least == 0 || passed < collectorPeriod {
		return
	}
	spent := collectorTime()
	next := c.next((spent - c.spent) / passed.Seconds())
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

// collectorTime returns the seconds of processor time that the collector took,
// without those of idle processors.
func collectorTime() float64 {
	samples := []metrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/gc/mark/idle:cpu-seconds"}}
	metrics.Read(samples)
	return samples[0].Value.Float64() - samples[1].Value.Float64()
}
