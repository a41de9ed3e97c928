package capacity

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// ticksPerPoint is the number of ticks that are measured for one point.
const ticksPerPoint = 500

// BenchmarkTicks measures the processor time of Tick methods by the number of servers,
// keys, members and records, each at the interval at which a node calls it.
func BenchmarkTicks(b *testing.B) {
	b.Run("routing", func(b *testing.B) {
		report(b, "ns/server", []int{4 * targetServices, 8 * targetServices, 16 * targetServices, targetServers * targetServices}, func(b *testing.B, n int) float64 {
			t := must(routes(targetServices, n/targetServices))(b)
			var targets []routing.ProbeTarget
			return perTick(20*time.Millisecond, func(now time.Time) {
				t.Tick(now)
				targets = t.ProbeTargets(now, targets[:0])
			})
		})
	})
	b.Run("limiter", func(b *testing.B) {
		report(b, "ns/key", []int{10, 100, 300, 710}, func(_ *testing.B, n int) float64 {
			var l budget.Limiter
			for i := range n {
				l.Allow(budget.Probe, 100, time.Now(), budget.Server(nodeID(i)))
			}
			return perTick(20*time.Millisecond, l.Tick)
		})
	})
	b.Run("members", func(b *testing.B) {
		report(b, "ns/member", []int{10, 100, 300, 710}, func(_ *testing.B, n int) float64 {
			p := member.Protocol{Self: members(1)[0], Rand: rand.New(rand.NewPCG(1, 2))}
			for _, m := range members(n) {
				p.Table().Merge(m)
			}
			return perTick(member.Interval, func(now time.Time) { p.Tick(now) })
		})
	})
	b.Run("records", func(b *testing.B) {
		report(b, "ns/record", []int{1000, 5000, 10000, 20000}, func(b *testing.B, n int) float64 {
			k := must(finishedRecords(n, 0))(b)
			return perTick(time.Millisecond, k.Tick)
		})
	})
}

// perTick calls tick with times at the interval and returns its mean processor time
// in nanoseconds.
func perTick(interval time.Duration, tick func(now time.Time)) float64 {
	now := time.Now()
	before := processorTime()
	for i := range ticksPerPoint {
		tick(now.Add(time.Duration(i) * interval))
	}
	return float64(processorTime()-before) / ticksPerPoint
}
