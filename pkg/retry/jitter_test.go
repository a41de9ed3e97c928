package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers that retry before the load can have changed, or much later
// than a slot is free.
func TestJitter(t *testing.T) {
	for name, c := range map[string]struct {
		wait, least, most time.Duration
	}{
		"unknown wait": {0, MinWait, 2 * MinWait},
		"short":        {time.Millisecond, MinWait, 2 * MinWait},
		"long":         {time.Second, time.Second, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Jitter(c.wait, func(int64) int64 { return 0 }), c.least)
			assert.Equal(t, Jitter(c.wait, func(n int64) int64 { return n - 1 }), c.most-1)
			got := Jitter(c.wait, nil)
			assert.Assert(t, got >= c.least && got < c.most, "%s", got)
		})
	}
}

// Guards against synchronized retries: 1,000 callers are refused at once and retry
// at a service that handles 10 requests per millisecond.
func TestJitterSpreadsReturningCallers(t *testing.T) {
	most := func(spread func() time.Duration) (most int) {
		arrivals := make(map[time.Duration]int)
		for range 1000 {
			arrivals[spread()/time.Millisecond]++
		}
		for _, n := range arrivals {
			most = max(most, n)
		}
		return most
	}
	const wait = 200 * time.Millisecond
	next := int64(0)
	even := func(n int64) int64 {
		next = (next + 618_033_989) % n // a step that covers the range evenly
		return next
	}
	assert.Equal(t, most(func() time.Duration { return wait }), 1000)
	assert.Assert(t, most(func() time.Duration { return Jitter(wait, even) }) <= 10)
}
