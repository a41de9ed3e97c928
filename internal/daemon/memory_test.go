package daemon

import (
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
