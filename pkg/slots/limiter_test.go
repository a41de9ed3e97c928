package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// newLimiter returns a limiter with the given slots. The default duration of a
// request is 50 ms.
func newLimiter(slots int) *Limiter {
	l := &Limiter{}
	l.Limit.SetSlots(slots)
	return l
}

func newRequest(priority int, objective time.Duration, last bool, woken *[]int, id int) Request {
	return Request{
		Kind: "k", Priority: priority, Objective: epoch.Add(objective), Deadline: epoch.Add(time.Second), Last: last,
		Wake: func(run bool) {
			if run {
				*woken = append(*woken, id)
			} else {
				*woken = append(*woken, -id)
			}
		},
	}
}

// Guards against decisions that start a request on a busy, slow or leaving server
// although another one could take it, and against queueing what cannot meet its
// objective.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		running   int
		slowdown  float64
		closed    bool
		objective time.Duration
		last      bool
		want      Verdict
	}{
		"free":                       {0, 1, false, 300 * time.Millisecond, false, Start},
		"slow period":                {0, 5, false, 300 * time.Millisecond, false, HandBack},
		"slow period, nowhere else":  {0, 5, false, 300 * time.Millisecond, true, Start},
		"full":                       {2, 1, false, 300 * time.Millisecond, false, HandBack},
		"full, nowhere else":         {2, 1, false, 300 * time.Millisecond, true, Wait},
		"full, objective too near":   {2, 1, false, 60 * time.Millisecond, true, Refuse},
		"full, objective has passed": {2, 1, false, -time.Millisecond, true, Refuse},
		"free, objective has passed": {0, 1, false, -time.Millisecond, true, Start},
		"leaving":                    {0, 1, true, 300 * time.Millisecond, true, HandBack},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(2)
			var woken []int
			for range c.running {
				_, v := l.Enter(newRequest(1, time.Second, true, &woken, 0), epoch)
				assert.Equal(t, v, Start)
			}
			l.Slowdown.Observe(1, epoch)
			l.Slowdown.Observe(c.slowdown, epoch)
			l.SetClosed(c.closed)
			_, v := l.Enter(newRequest(1, c.objective, c.last, &woken, 1), epoch)
			assert.Equal(t, v, c.want)
		})
	}
}

// Guards against a less urgent request that overtakes a more urgent one of the
// service, or keeps its place in a full queue.
func TestQueueIsOrderedByPriority(t *testing.T) {
	l := newLimiter(1)
	var woken []int
	first, _ := l.Enter(newRequest(1, time.Second, true, &woken, 0), epoch)
	for id, priority := range []int{2, 1, 2, 0} {
		_, v := l.Enter(newRequest(priority, time.Second, true, &woken, id+1), epoch)
		assert.Equal(t, v, Wait)
	}
	runs := []*Run{first}
	for range 3 {
		l.Leave(runs[len(runs)-1], false, epoch)
		// The next run is the one that was woken; its own Run leaves through the
		// queue.
		runs = append(runs, &Run{started: epoch})
	}
	assert.DeepEqual(t, woken, []int{-3, 4, 2, 1})
}

// Guards against queued requests that can no longer meet their objective: they would
// be refused shortly before their deadline and delay those behind them.
func TestQueuedRequestIsRefusedWhenLate(t *testing.T) {
	l := newLimiter(1)
	var woken []int
	run, _ := l.Enter(newRequest(1, time.Second, true, &woken, 0), epoch)
	_, v := l.Enter(newRequest(1, 150*time.Millisecond, true, &woken, 1), epoch)
	assert.Equal(t, v, Wait)
	l.Tick(epoch.Add(120 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{-1})
	l.Leave(run, false, epoch.Add(130*time.Millisecond))
	assert.Equal(t, l.Running(), 0)
}

// Guards against a server that fails half of its requests, looks idle and so gets
// more than its share; and against a server that is never tried again.
func TestUnhealthyServerGetsTrialsOnly(t *testing.T) {
	l := newLimiter(10)
	for i := range 20 {
		l.Health.Observe(i%2 == 0)
	}
	started := 0
	var woken []int
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if run, v := l.Enter(newRequest(1, 10*time.Second, false, &woken, 1), now); v == Start {
			started++
			l.Leave(run, false, now)
		}
	}
	assert.Equal(t, started, 10)
	for range 30 {
		l.Health.Observe(false)
	}
	_, v := l.Enter(newRequest(1, 10*time.Second, false, &woken, 1), epoch.Add(time.Minute))
	assert.Equal(t, v, Start)
}

// Guards against late requests that fill the slots while requests that can still
// meet their objective are refused, and against slots that stay empty when there are
// none.
func TestLateRequestsYieldWhenSaturated(t *testing.T) {
	for name, c := range map[string]struct {
		saturated time.Duration
		want      int
	}{
		"not saturated":       {-1, 6},
		"saturated":           {0, 2},
		"no longer saturated": {saturationTime, 6},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(8)
			var woken []int
			if c.saturated >= 0 {
				runs := make([]*Run, 0, 8)
				for range 8 {
					run, _ := l.Enter(newRequest(1, time.Second, false, &woken, 1), epoch)
					runs = append(runs, run)
				}
				_, v := l.Enter(newRequest(1, time.Second, false, &woken, 1), epoch)
				assert.Equal(t, v, HandBack)
				for _, run := range runs {
					l.Leave(run, false, epoch)
				}
			}
			now := epoch.Add(max(c.saturated, 0))
			started := 0
			for range 10 {
				if _, v := l.Enter(newRequest(1, -time.Second, true, &woken, 1), now); v == Start {
					started++
				}
			}
			assert.Equal(t, started, c.want)
		})
	}
}
