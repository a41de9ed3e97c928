package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against bursts of resends that exceed the limit in a window that begins at
// any time, although they are within it in the windows that begin at multiples of the
// span.
func TestWindowHoldsInEverySlidingSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Window{Span: 10 * time.Second, Ratio: 0.2, Fixed: 5}
		start := time.Unix(1000, 0)
		now := start
		type event struct {
			at       time.Time
			isResend bool
		}
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			isResend := rapid.Bool().Draw(t, "resent")
			if !isResend {
				w.Request(now)
			} else if !w.Take(now, 1) {
				continue
			}
			events = append(events, event{now, isResend})
		}
		for i, first := range events {
			var requests, resends float64
			for _, e := range events[i:] {
				if e.at.Sub(first.at) >= 9*time.Second {
					break // the window is accurate to a tenth of its span
				}
				if e.isResend {
					resends++
				}
			}
			for _, e := range events {
				if !e.isResend && e.at.After(first.at.Add(-10*time.Second)) && e.at.Sub(first.at) < 9*time.Second {
					requests++
				}
			}
			assert.Assert(t, resends <= 0.2*requests+5)
		}
	})
}

// Guards against a zero Window that allows everything.
func TestZeroWindowAllowsNothing(t *testing.T) {
	var w Window
	assert.Assert(t, !w.Take(time.Unix(1, 0), 1))
}

// Guards against resends that are limited to a smaller share but exceed it, because
// resends taken with a larger share are not counted.
func TestSharesCountTogether(t *testing.T) {
	now := time.Unix(1000, 0)
	w := Window{Span: 10 * time.Second, Ratio: 0.2}
	for range 100 {
		w.Request(now)
	}
	taken := 0
	for w.Take(now, 0.5) {
		taken++
	}
	assert.Equal(t, taken, 10)
	assert.Assert(t, !w.Take(now, 0.25))
}
