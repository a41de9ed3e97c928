package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against resends of one service that exceed the limit of the service which it
// calls, because the calls of a second run cannot be refused where they arrive.
func TestResendsAreChargedForTheirCalls(t *testing.T) {
	const (
		nodes, refusedShare, fixed, ratio = 20, 0.45, 100, 0.2
		outer, inner                      = 20000, 1500 // requests of clients in a span
		span                              = 10 * time.Second
	)
	for name, c := range map[string]struct {
		callsPerRun      float64
		minShare, atMost float64 // resends of the outer service, as a share of its limit
	}{
		"no calls":      {0, 0.75, 0.8},
		"every other":   {0.5, 0.1, 0.3},
		"each run":      {1, 0.05, 0.15},
		"several calls": {3, 0, 0.05},
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			var windows [nodes]Windows
			var outerResends, innerExtra float64
			// call runs the calls of one run, which are refused like all other requests.
			call := func(repeat bool) map[string]int {
				made := map[string]int{}
				for n := c.callsPerRun; n > 0 && random.Float64() < n; n-- {
					made["inner"]++
					if repeat {
						innerExtra++
					}
					if random.Float64() < refusedShare && windows[random.IntN(nodes)].Take("inner", "call", 0.8, now) {
						innerExtra++
					}
				}
				return made
			}
			for i := range outer {
				now = now.Add(span / outer)
				w := &windows[i%nodes]
				w.Span, w.Ratio, w.Fixed = span, ratio, fixed/float64(nodes)
				w.Ran("call", nil, now)
				if i%(outer/inner) == 0 {
					w.Request("inner", now)
				}
				w.Request("outer", now)
				if random.Float64() >= refusedShare {
					w.Ran("request", call(false), now)
				} else if w.Take("outer", "request", 0.8, now) {
					outerResends++
					if random.Float64() < refusedShare {
						w.NotRun("request", now)
						continue
					}
					w.Ran("request", call(true), now)
				}
			}
			innerLimit, outerLimit := ratio*inner+fixed, ratio*outer+fixed
			assert.Assert(t, innerExtra <= innerLimit, "%.0f of %.0f at the inner service", innerExtra, innerLimit)
			share := outerResends / outerLimit
			assert.Assert(t, share >= c.minShare && share <= c.atMost, "%.0f of %.0f at the outer service", outerResends, outerLimit)
		})
	}
}

// Guards against a limit that is used up before the calls of a route are known.
func TestUnknownCallsLimitResends(t *testing.T) {
	now := time.Unix(1000, 0)
	w := Windows{Span: 10 * time.Second, Ratio: 0.2}
	for range 100 {
		w.Request("s", now)
	}
	taken := 0
	for w.Take("s", "r", 0.8, now) {
		taken++
	}
	assert.Equal(t, taken, 5)
	for range minCallSamples {
		w.Ran("r", nil, now)
	}
	for w.Take("s", "r", 0.8, now) {
		taken++
	}
	assert.Equal(t, taken, 16)
}
