package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func take(w *Windows, service, route string, now time.Time) bool {
	_, ok := w.Take(service, route, 0.8, now)
	return ok
}

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
					if random.Float64() < refusedShare && take(&windows[random.IntN(nodes)], "inner", "call", now) {
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
				} else if charge, ok := w.Take("outer", "request", 0.8, now); ok {
					outerResends++
					if random.Float64() < refusedShare {
						w.Refund(charge, true, now)
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
	for take(&w, "s", "r", now) {
		taken++
	}
	assert.Equal(t, taken, 5)
	for range minCallSamples {
		w.Ran("r", nil, now)
	}
	for take(&w, "s", "r", now) {
		taken++
	}
	assert.Equal(t, taken, 16)
}

// charged is a charge as the test expects it: resends by service, charged at a time.
type charged struct {
	at    time.Time
	sums  map[string]float64
	value Charge
}

// Guards against refunds that differ from what was charged: of other means, of another
// cell, or of a resend whose calls are charged later.
func TestRefundsMatchCharges(t *testing.T) {
	const span = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now, uncharged, runs := time.Unix(1000, 0), 0, 0
		w := Windows{Span: span, Fixed: 1e6}
		var left []charged
		for range rapid.SampledFrom([]int{0, minCallSamples}).Draw(t, "runs") {
			runs++
			w.Ran("r", map[string]int{"b": runs % 4}, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{span / 30, span / 10, span / 2, span, 3 * span}).Draw(t, "wait"))
			},
			"ran": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "runs") {
					n := rapid.IntRange(0, 3).Draw(t, "calls")
					if uncharged > 0 {
						uncharged--
						left = append(left, charged{at: now, sums: map[string]float64{"b": float64(n)}})
					}
					runs++
					w.Ran("r", map[string]int{"b": n}, now)
				}
			},
			"take": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "resends") {
					c := charged{at: now, sums: map[string]float64{"a": 1}}
					if runs < minCallSamples {
						uncharged++
					} else {
						c.sums["b"] = w.routes["r"].means["b"]
					}
					var ok bool
					c.value, ok = w.Take("a", "r", 0.8, now)
					assert.Assert(t, ok)
					left = append(left, c)
				}
			},
			"refund": func(t *rapid.T) {
				if len(left) == 0 {
					return
				}
				i, arrived := rapid.IntRange(0, len(left)-1).Draw(t, "i"), rapid.Bool().Draw(t, "arrived")
				c := left[i]
				if c.value.IsZero() {
					return
				}
				if _, known := c.sums["b"]; !known && uncharged > 0 {
					uncharged--
				}
				w.Refund(c.value, arrived, now)
				left[i] = charged{at: c.at, sums: map[string]float64{}}
				if arrived {
					left[i].sums["a"] = 1
				}
			},
			"": func(t *rapid.T) {
				for _, service := range []string{"a", "b"} {
					s := w.window(service)
					s.advance(now)
					var sum, least, most float64
					for _, c := range s.cells {
						assert.Assert(t, c.resends >= 0)
						sum += c.resends
					}
					// The end of the window is accurate to one cell.
					for _, c := range left {
						if now.Sub(c.at) < span-span/windowCells {
							least += c.sums[service]
						}
						if now.Sub(c.at) <= span {
							most += c.sums[service]
						}
					}
					assert.Assert(t, sum > least-1e-6 && sum < most+1e-6, "%s: %f, not %f to %f", service, sum, least, most)
				}
			},
		})
	})
}
