package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// chain models a chain of calls in which every attempt at the last hop fails. The
// server of each hop copies its headers to all its calls.
type chain struct {
	budget Budget
	fanOut []int // calls that the server of each hop but the last makes
	cause  Cause
	only   int // the only hop that may retry, or negative for all
	now    time.Time
	load   int // attempts at the last hop
}

// enter makes one call at the entry node and returns the load that it would put on
// the last hop without retries.
func (c *chain) enter() int {
	a := c.budget.Grant("stock", DefaultRatio, c.now.Add(time.Minute), c.now)
	c.budget.Put("stock", DefaultRatio, a.WithRetries(c.call(0, a)))
	c.now = c.now.Add(time.Millisecond)
	base := 1
	for _, n := range c.fanOut {
		base *= n
	}
	return base
}

// call models the node that sends a request: it tries servers until no retry is
// permitted, and returns the retries left.
func (c *chain) call(hop int, a Allowance) uint8 {
	var t Attempts
	t.Start(a)
	for n := 0; ; n++ {
		server := fmt.Sprint(n)
		forwarded, ok := t.Send(server)
		if !ok {
			break
		}
		t.Answer(server, c.serve(hop, forwarded))
		cause := c.cause
		if hop < len(c.fanOut) {
			cause = Failed
		}
		if c.only >= 0 && hop != c.only {
			cause = Final
		}
		if !t.Retry(&c.budget, true, cause, c.now) {
			break
		}
	}
	return t.Left().Retries
}

// serve models the receiving node and its server.
func (c *chain) serve(hop int, a Allowance) uint8 {
	if hop == len(c.fanOut) {
		c.load++
		if c.cause == Lost {
			return 0
		}
		return a.Retries
	}
	var pool AllowancePool
	pool.Add("id", a)
	copies := make([]Allowance, c.fanOut[hop])
	for i := range copies {
		copies[i], _ = pool.Borrow("id")
	}
	for _, a := range copies {
		pool.Return("id", a.WithRetries(c.call(hop+1, a)))
	}
	return pool.Remove("id")
}

func (c *chain) amplification(calls int) float64 {
	base := 0
	for range calls {
		base += c.enter()
	}
	return float64(c.load) / float64(base)
}

// Guards against retries that multiply over the hops of a failing chain and over the
// calls of one hop.
func TestChainAmplification(t *testing.T) {
	ones := []int{1, 1, 1, 1, 1, 1, 1, 1, 1}
	for name, c := range map[string]struct {
		fanOut []int
		cause  Cause
		only   int
		calls  int
		least  float64 // above one: the chain must have retried
	}{
		"ten hops that fail":           {ones, Failed, -1, 1000, 1.0001},
		"ten hops that refuse":         {ones, Overloaded, -1, 1000, 1.0001},
		"ten hops that are lost":       {ones, Lost, -1, 1000, 1},
		"two calls, all hops retry":    {[]int{2, 2, 2, 2, 2, 2, 2, 2, 2}, Failed, -1, 20, 1.0001},
		"two calls, the first retries": {[]int{2, 2, 2, 2, 2, 2, 2, 2, 2}, Failed, 0, 20, 1.0001},
		"three calls, a middle hop":    {[]int{3, 3, 3, 3, 3, 1, 1, 1, 1}, Failed, 4, 40, 1.0001},
		"one hop":                      {nil, Failed, -1, 1000, 1.0001},
	} {
		t.Run(name, func(t *testing.T) {
			got := (&chain{fanOut: c.fanOut, cause: c.cause, only: c.only, now: start}).amplification(c.calls)
			t.Logf("amplification %.4f", got)
			assert.Assert(t, got <= 1.1 && got >= c.least, "amplification %v", got)
		})
	}
}

// Guards against chain shapes in which some hop multiplies the allowance.
func TestChainAmplificationOfAnyShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &chain{now: start, cause: Cause(rapid.IntRange(int(Final), int(Overloaded)).Draw(t, "cause"))}
		c.only = rapid.IntRange(-1, 9).Draw(t, "only")
		for size, hops := 1, rapid.IntRange(0, 9).Draw(t, "hops"); len(c.fanOut) < hops; {
			n := rapid.IntRange(1, max(1, min(5, 60/size))).Draw(t, "calls")
			c.fanOut, size = append(c.fanOut, n), size*n
		}
		got := c.amplification(rapid.IntRange(1, 40).Draw(t, "chains"))
		assert.Assert(t, got <= 1.1, "amplification %v of %v", got, c.fanOut)
	})
}
