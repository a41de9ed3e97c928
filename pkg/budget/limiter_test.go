package budget

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type sentMessage struct {
	at    time.Duration
	bytes int64
}

// maxPerSecond returns the largest numbers of messages and bytes in any half-open
// second of real time.
func maxPerSecond(log []sentMessage) (worst Rate) {
	var sum Rate
	first := 0
	for _, s := range log {
		sum.Messages++
		sum.Bytes += s.bytes
		for ; s.at-log[first].at >= time.Second; first++ {
			sum.Messages--
			sum.Bytes -= log[first].bytes
		}
		worst.Messages = max(worst.Messages, sum.Messages)
		worst.Bytes = max(worst.Bytes, sum.Bytes)
	}
	return worst
}

// pauses lie at and next to the boundaries of the slices.
var pauses = []time.Duration{0, 0, 1, sliceDuration - 1, sliceDuration, sliceDuration + 1, maxGap, time.Second - sliceDuration, time.Second - 1, time.Second}

// Guards against a second of real time, at any alignment, in which measuring
// exceeds its budget (P1), with clock steps in both directions.
func TestNoSecondExceedsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{rapid.Int64Range(0, 30).Draw(t, "messages"), rapid.Int64Range(0, 3000).Draw(t, "bytes")}
		var l Limiter
		l.SetServers(rate)
		now := time.Unix(1_000_000, 0)
		var at, stepped time.Duration = 0, -time.Second
		var log []sentMessage
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			d := rapid.SampledFrom(pauses).Draw(t, "pause")
			for ; d > 0; d -= maxGap {
				at, now = at+min(d, maxGap), now.Add(min(d, maxGap))
				l.Tick(now)
			}
			if at-stepped >= time.Second && rapid.Bool().Draw(t, "step?") {
				now, stepped = now.Add(time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "step"))), at
			}
			class, size := Control-Class(rapid.IntRange(0, Classes-1).Draw(t, "class")), rapid.IntRange(0, 500).Draw(t, "size")
			for l.Allow(class, size, now, Server("a")) {
				log = append(log, sentMessage{at, int64(size)})
			}
		}
		worst := maxPerSecond(log)
		assert.Assert(t, worst.Messages <= rate.Messages && worst.Bytes <= rate.Bytes, "worst second %v, budget %v", worst, rate)
	})
}

// Guards against concurrent callers that together exceed the budget, and against
// late clock readings that count the same interval twice.
func TestConcurrentCallersShareOneBudget(t *testing.T) {
	l, now := &Limiter{}, time.Unix(1_000_000, 0)
	// Without this call, the late readings before the first current one count as
	// several steps.
	l.Tick(now)
	var mu sync.Mutex
	var log []sentMessage
	for round := range 300 {
		at := time.Duration(round) * 10 * time.Millisecond
		var group sync.WaitGroup
		for caller := range 8 {
			group.Go(func() {
				late := time.Duration(caller) * 40 * time.Millisecond
				if l.Allow(Control, 10, now.Add(at-late), Server("a")) {
					mu.Lock()
					defer mu.Unlock()
					log = append(log, sentMessage{at, 10})
				}
			})
		}
		group.Wait()
	}
	worst := maxPerSecond(log)
	assert.Equal(t, worst.Messages, DefaultServer.Messages)
}

// Guards against lower classes that use the reserve of higher ones.
func TestLowerClassesLeaveAReserve(t *testing.T) {
	l, now := &Limiter{}, time.Unix(0, 0)
	l.SetLinks(Rate{Messages: 100, Bytes: 1 << 20})
	for _, step := range []struct {
		class Class
		want  int
	}{{Probe, 50}, {Report, 20}, {AntiEntropy, 15}, {Control, 15}, {Probe, 0}} {
		n := 0
		for l.Allow(step.class, 1, now, Link("poa", "cwb")) {
			n++
		}
		assert.Equal(t, n, step.want, "%v", step.class)
	}
	spent, denied := l.Counters(Link("poa", "cwb")).Total()
	assert.DeepEqual(t, [2]uint64{spent.Messages, denied.Messages}, [2]uint64{100, 5})
}

// Guards against a denied message that is charged to one of its two budgets.
func TestAllKeysOrNone(t *testing.T) {
	l, now := &Limiter{}, time.Unix(0, 0)
	l.Override(map[Key]Rate{Link("poa", "cwb"): {}})
	assert.Assert(t, !l.Allow(Control, 1, now, Server("a"), Link("poa", "cwb")))
	spent, _ := l.Counters(Server("a")).Total()
	assert.Equal(t, spent.Messages, uint64(0))
	assert.Assert(t, l.Allow(Probe, 1<<30, now, Link("poa", "poa")))
}

// Guards against a budget that stays exhausted after a backward clock step until the
// clock reaches its earlier value.
func TestBudgetReturnsAfterABackwardStep(t *testing.T) {
	l, now := &Limiter{}, time.Unix(1_000_000, 0)
	for l.Allow(Control, 1, now, Server("a")) {
		continue
	}
	for now = now.Add(-time.Hour); !l.Allow(Control, 1, now, Server("a")); now = now.Add(maxGap) {
		assert.Assert(t, now.Before(time.Unix(1_000_000, 0).Add(-59*time.Minute)))
	}
}

// Guards against messages that are sent without a check and do not reduce the
// budget of the others.
func TestCountedMessagesUseTheBudget(t *testing.T) {
	var l Limiter
	l.SetServers(Rate{Messages: 100, Bytes: 1000})
	now, key := time.Unix(1, 0), Server("a")
	l.Count(Control, 2000, now, key)
	assert.Assert(t, !l.Allow(Control, 1, now, key), "the budget is spent")
	assert.Equal(t, l.Counters(key).Spent[Control], Count{Messages: 1, Bytes: 2000})
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		l.Tick(now)
	}
	assert.Assert(t, l.Allow(Control, 1, now, key))
}
