package daemon

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a collector that takes cores to keep a busy node small, and
// against a heap that stays large after the load has ended.
func TestGrowthFollowsTheCollector(t *testing.T) {
	cases := map[string]struct {
		least, growth int
		share         float64
		want          int
	}{
		"target":       {10, 10, 0.11, 10},
		"in between":   {10, 40, 0.2, 40},
		"bodies":       {10, 10, 0.6, 20},
		"many bodies":  {10, 80, 0.6, 100},
		"load ended":   {10, 100, 0.06, 50},
		"back again":   {10, 11, 0, 10},
		"large growth": {200, 200, 0.6, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := collector{least: tc.least, growth: tc.growth}
			assert.Equal(t, c.next(tc.share), tc.want)
		})
	}
}

// Guards against a heap that grows because other processes keep the host busy:
// the runtime's own figures count the waiting for a processor as work.
func TestCollectorTimeLeavesOutWaiting(t *testing.T) {
	cases := map[string]struct {
		passed processorTimes
		want   float64
	}{
		"quiet host":            {processorTimes{process: 0.5, collector: 0.1, busy: 0.5}, 0.1},
		"host at four times":    {processorTimes{process: 0.5, collector: 0.4, busy: 2}, 0.1},
		"no collection ended":   {processorTimes{process: 0.5}, 0},
		"collector takes a lot": {processorTimes{process: 2, collector: 1.5, busy: 2}, 1.5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before := processorTimes{process: 3, collector: 1, busy: 9}
			after := processorTimes{
				process: before.process + tc.passed.process, collector: before.collector + tc.passed.collector, busy: before.busy + tc.passed.busy,
			}
			got := after.collectorSince(before)
			assert.Assert(t, math.Abs(got-tc.want) < 1e-9, "%v instead of %v", got, tc.want)
		})
	}
}
