package slots

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// overloadedRuns records n runs of an overloaded server with 9 slots. Runs that start
// when more than 7 are running take 1.7 times as long.
func overloadedRuns(l *Limit, r *rand.Rand, n int) {
	for range n {
		running := 9
		if r.IntN(3) == 0 {
			running = 1 + r.IntN(9)
		}
		ratio := sampleRatio(r)
		if running > 7 {
			ratio *= 1.7
		}
		l.Observe(running, ratio)
	}
}

// nearBest reports whether a limit differs by at most one from 7, the best one for
// the server of overloadedRuns.
func nearBest(limit int) bool { return limit >= 6 && limit <= 8 }

// Guards against an overload that ends before a server has finished enough runs to
// find its limit. A server finishes twelve runs a second. The runs of two seconds
// must suffice with the summaries of 19 other servers; without them they do not.
func TestServersPoolTheirRuns(t *testing.T) {
	alone, together := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var own Limit
		own.SetSlots(9)
		overloadedRuns(&own, r, 24)
		if nearBest(own.Current()) {
			alone++
		}
		var others []Summary
		for range 19 {
			var l Limit
			l.SetSlots(9)
			overloadedRuns(&l, r, 24)
			others = append(others, l.Summary())
		}
		own.SetOthers(others)
		if nearBest(own.Current()) {
			together++
		}
	}
	assert.Assert(t, together >= 19, "the limit was found with %d of 20 seeds", together)
	assert.Assert(t, alone <= 10, "the limit was found with %d of 20 seeds without other servers", alone)
}

// Guards against a server that does not slow down and keeps using the lower limit of
// the other servers of its service, which do.
func TestOwnRunsOutweighThoseOfOthers(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 1))
	var others []Summary
	for range 19 {
		var l Limit
		l.SetSlots(9)
		overloadedRuns(&l, r, 400)
		others = append(others, l.Summary())
	}
	var own Limit
	own.SetSlots(9)
	own.SetOthers(others)
	for range 3000 {
		own.Observe(1+r.IntN(9), sampleRatio(r))
	}
	assert.Assert(t, own.Current() >= 8, "limit %d", own.Current())
}

// Guards against an invalid summary from another node that changes the limit or
// causes a panic.
func TestMalformedSummaries(t *testing.T) {
	for name, s := range map[string]Summary{
		"empty":       {},
		"cut short":   {9, 200, 3, 0, 1},
		"wrong level": {250, 255, 0x0f, 0, 0, 100},
		"huge ratio":  {9, 255, 0xff, 0xff, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limit
			l.SetSlots(9)
			for range 100 {
				l.Observe(4, 1)
			}
			l.SetOthers([]Summary{s})
			assert.Equal(t, l.Current(), 9)
		})
	}
}

// FuzzSummary guards against a limit that a summary from another node moves out of its
// range, which is from half of the slots to all of them.
func FuzzSummary(f *testing.F) {
	f.Add([]byte{9, 200, 6, 164, 1, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var l Limit
		l.SetSlots(12)
		l.Observe(3, 1)
		l.SetOthers([]Summary{raw})
		assert.Assert(t, l.Current() >= 6 && l.Current() <= 12, "limit %d", l.Current())
	})
}
