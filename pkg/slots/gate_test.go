package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

// gate returns one with the given slots, where work takes 50 ms.
func gate(slots int) *Limiter {
	g := &Limiter{}
	g.Limit.SetSlots(slots)
	return g
}

func ask(priority int, objective time.Duration, last bool, woken *[]int, id int) Request {
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

// Guards against decisions that send work to a busy, slow or leaving server while
// another one could take it, and against holding what cannot be on time.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		running   int
		pace      float64
		closed    bool
		objective time.Duration
		last      bool
		want      Verdict
	}{
		"free":                       {0, 1, false, 300 * time.Millisecond, false, Start},
		"slow spell":                 {0, 5, false, 300 * time.Millisecond, false, HandBack},
		"slow spell, nowhere else":   {0, 5, false, 300 * time.Millisecond, true, Start},
		"full":                       {2, 1, false, 300 * time.Millisecond, false, HandBack},
		"full, nowhere else":         {2, 1, false, 300 * time.Millisecond, true, Wait},
		"full, objective too near":   {2, 1, false, 60 * time.Millisecond, true, Refuse},
		"full, objective has passed": {2, 1, false, -time.Millisecond, true, Refuse},
		"free, objective has passed": {0, 1, false, -time.Millisecond, true, Start},
		"leaving":                    {0, 1, true, 300 * time.Millisecond, true, HandBack},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate(2)
			var woken []int
			for range c.running {
				_, v := g.Enter(ask(1, time.Second, true, &woken, 0), epoch)
				assert.Equal(t, v, Start)
			}
			g.Slowdown.Observe(1, epoch)
			g.Slowdown.Observe(c.pace, epoch)
			g.SetClosed(c.closed)
			_, v := g.Enter(ask(1, c.objective, c.last, &woken, 1), epoch)
			assert.Equal(t, v, c.want)
		})
	}
}

// Guards against less urgent work that overtakes more urgent work of the service,
// or keeps its place in a full line.
func TestLineIsOrderedByPriority(t *testing.T) {
	g := gate(1)
	var woken []int
	first, _ := g.Enter(ask(1, time.Second, true, &woken, 0), epoch)
	for id, priority := range []int{2, 1, 2, 0} {
		_, v := g.Enter(ask(priority, time.Second, true, &woken, id+1), epoch)
		assert.Equal(t, v, Wait)
	}
	runs := []*Run{first}
	for range 3 {
		g.Leave(runs[len(runs)-1], false, epoch)
		// The next run is the one that was woken; its own Run leaves through the line.
		runs = append(runs, &Run{started: epoch})
	}
	assert.DeepEqual(t, woken, []int{-3, 4, 2, 1})
}

// Guards against requests that wait although they can no longer be on time: they
// would be turned away near their deadline, and hold up those behind them.
func TestWaitEndsWhenTheObjectiveIsOutOfReach(t *testing.T) {
	g := gate(1)
	var woken []int
	run, _ := g.Enter(ask(1, time.Second, true, &woken, 0), epoch)
	_, v := g.Enter(ask(1, 150*time.Millisecond, true, &woken, 1), epoch)
	assert.Equal(t, v, Wait)
	g.Tick(epoch.Add(120 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{-1})
	g.Leave(run, false, epoch.Add(130*time.Millisecond))
	assert.Equal(t, g.Running(), 0)
}

// Guards against a server that fails half of its requests, looks idle and so gets
// more than its share; and against never trying it again.
func TestAilingServerGetsTrialsOnly(t *testing.T) {
	g := gate(10)
	for i := range 20 {
		g.Health.Observe(i%2 == 0)
	}
	started := 0
	var woken []int
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		if run, v := g.Enter(ask(1, 10*time.Second, false, &woken, 1), now); v == Start {
			started++
			g.Leave(run, false, now)
		}
	}
	assert.Equal(t, started, 10)
	for range 30 {
		g.Health.Observe(false)
	}
	_, v := g.Enter(ask(1, 10*time.Second, false, &woken, 1), epoch.Add(time.Minute))
	assert.Equal(t, v, Start)
}

// Guards against late work that fills the slots while work that can still be on
// time is turned away, and against slots that stay empty when there is none.
func TestLateWorkYieldsUnderPressure(t *testing.T) {
	for name, c := range map[string]struct {
		pressed time.Duration
		want    int
	}{
		"no pressure":       {-1, 6},
		"pressure":          {0, 2},
		"pressure has gone": {pressedTime, 6},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate(8)
			var woken []int
			if c.pressed >= 0 {
				runs := make([]*Run, 0, 8)
				for range 8 {
					run, _ := g.Enter(ask(1, time.Second, false, &woken, 1), epoch)
					runs = append(runs, run)
				}
				_, v := g.Enter(ask(1, time.Second, false, &woken, 1), epoch)
				assert.Equal(t, v, HandBack)
				for _, run := range runs {
					g.Leave(run, false, epoch)
				}
			}
			now := epoch.Add(max(c.pressed, 0))
			started := 0
			for range 10 {
				if _, v := g.Enter(ask(1, -time.Second, true, &woken, 1), now); v == Start {
					started++
				}
			}
			assert.Equal(t, started, c.want)
		})
	}
}
