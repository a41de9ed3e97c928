package daemon

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against garbage collection that takes whole cores to keep the heap of a busy
// node small, and against a heap that stays large after the load has ended.
func TestHeapGrowthFollowsGCLoad(t *testing.T) {
	cases := map[string]struct {
		minGrowth, growth int
		share             float64
		want              int
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
			c := gcTuner{minGrowth: tc.minGrowth, growth: tc.growth}
			assert.Equal(t, c.next(tc.share), tc.want)
		})
	}
}

// Guards against a heap that grows because other processes keep the host busy: the
// runtime's figures count the time that threads wait for a processor as work.
func TestGCTimeExcludesWaiting(t *testing.T) {
	cases := map[string]struct {
		elapsed cpuTimes
		want    float64
	}{
		"quiet host":                            {cpuTimes{process: 0.5, gc: 0.1, busy: 0.5}, 0.1},
		"busy host, waiting counted four times": {cpuTimes{process: 0.5, gc: 0.4, busy: 2}, 0.1},
		"no collection ended":                   {cpuTimes{process: 0.5}, 0},
		"high share of collection":              {cpuTimes{process: 2, gc: 1.5, busy: 2}, 1.5},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			before := cpuTimes{process: 3, gc: 1, busy: 9}
			after := cpuTimes{
				process: before.process + tc.elapsed.process, gc: before.gc + tc.elapsed.gc, busy: before.busy + tc.elapsed.busy,
			}
			got := after.gcSecondsSince(before)
			assert.Assert(t, math.Abs(got-tc.want) < 1e-9, "%v instead of %v", got, tc.want)
		})
	}
}
