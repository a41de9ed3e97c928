package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against durations in a slow spell that are taken for slow work: the
// limit and the estimates would follow the neighbours of the server.
func TestSlowRunsAreNotLearned(t *testing.T) {
	g := gate(4)
	var woken []int
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * time.Second)
		g.Slowdown.Observe(1, now)
		g.Slowdown.Observe([]float64{1, 5}[i%2], now)
		run, v := g.Enter(Request{Kind: "k", Objective: now.Add(time.Hour), Last: true, Wake: ask(1, 0, true, &woken, 1).Wake}, now)
		assert.Equal(t, v, Start)
		g.Leave(run, true, now.Add([]time.Duration{60, 300}[i%2]*time.Millisecond))
	}
	assert.Equal(t, g.UsualDuration("k"), 60*time.Millisecond)
	assert.Assert(t, !g.Slowdown.Slow(epoch.Add(time.Minute)), "an old figure is believed")
}

// Guards against requests that begin in a slow spell because the last figure was
// told before it.
func TestNothingBeginsOnAnOldPace(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		looked bool
		want   Verdict
	}{
		"fresh":             {startFresh, false, Start},
		"old":               {startFresh + 1, false, Probe},
		"old, but asked":    {time.Second, true, Start},
		"never told by any": {-1, false, Start},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate(4)
			if c.age >= 0 {
				g.Slowdown.Observe(1, epoch.Add(-c.age))
			}
			var woken []int
			a := ask(1, time.Second, false, &woken, 1)
			a.Probed = c.looked
			_, v := g.Enter(a, epoch)
			assert.Equal(t, v, c.want)
		})
	}
}

// Guards against a server that is slow after its start and gets no work until it
// has warmed up, and against durations of that time that are taken for usual ones.
func TestColdServersWork(t *testing.T) {
	g := gate(4)
	var woken []int
	now := epoch
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		g.Slowdown.Observe(2, now)
		a := ask(1, 0, false, &woken, 1)
		a.Objective = now.Add(time.Hour)
		run, v := g.Enter(a, now)
		assert.Equal(t, v, Start)
		g.Leave(run, true, now.Add(120*time.Millisecond))
	}
	assert.Equal(t, g.UsualDuration("k"), 120*time.Millisecond)
	g.Slowdown.Observe(10, now)
	assert.Assert(t, g.Slowdown.Slow(now), "a spell of a cold server is not seen")
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		g.Slowdown.Observe(1, now)
	}
	assert.Equal(t, g.UsualDuration("k"), 60*time.Millisecond)
}

// Guards against work that begins in a slow spell, where it takes five times as
// long, although the spell will be over in time; and against a wait that turns a
// request away which could have been served late.
func TestSlowSpellsAreWaitedFor(t *testing.T) {
	g := gate(4)
	var woken []int
	g.Slowdown.Observe(1, epoch)
	g.Slowdown.Observe(5, epoch)
	_, v := g.Enter(ask(1, 240*time.Millisecond, true, &woken, 1), epoch)
	assert.Equal(t, v, Wait)
	g.Tick(epoch.Add(20 * time.Millisecond))
	assert.Equal(t, len(woken), 0)
	g.Slowdown.Observe(1, epoch.Add(60*time.Millisecond))
	g.Tick(epoch.Add(60 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{1})

	g.Slowdown.Observe(5, epoch.Add(70*time.Millisecond))
	run, v := g.Enter(ask(1, 290*time.Millisecond, true, &woken, 2), epoch.Add(70*time.Millisecond))
	assert.Equal(t, v, Wait)
	assert.Equal(t, run.Until(), epoch.Add(240*time.Millisecond))
	g.Tick(epoch.Add(250 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{1, 2})
	assert.Equal(t, g.Running(), 2)
}

// Guards against work beyond its objective that begins in a slow spell and keeps
// its slot from four other requests; and against such work that is held for longer
// than a spell, or takes the slot of a request that can be on time.
func TestLateWorkWaitsForTheEndOfASpell(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		// paces are the figures after 100, 200 and 300 ms.
		paces []float64
		// due is when the objective of the late request is; that of another one,
		// which comes after 50 ms, is at 290 ms.
		due   time.Duration
		after []int
	}{
		"begins after the spell, behind the one on time": {paces: []float64{1}, due: 40 * ms, after: []int{2, 1}},
		"becomes late while it waits":                    {paces: []float64{5, 1}, due: 160 * ms, after: []int{2, 1}},
		"is turned away when the spell does not end":     {paces: []float64{5, 5, 5}, due: 40 * ms, after: []int{-1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := gate(2)
			var woken []int
			g.Slowdown.Observe(1, epoch)
			g.Slowdown.Observe(5, epoch)
			late := ask(1, c.due, true, &woken, 1)
			late.Probed = true
			_, v := g.Enter(late, epoch.Add(10*ms))
			assert.Equal(t, v, Wait)
			other := ask(1, 290*ms, true, &woken, 2)
			other.Probed = true
			_, v = g.Enter(other, epoch.Add(50*ms))
			assert.Equal(t, v, Wait)
			for i, pace := range c.paces {
				at := epoch.Add(time.Duration(i+1) * 100 * ms)
				g.Slowdown.Observe(pace, at)
				g.Tick(at)
			}
			assert.DeepEqual(t, woken, c.after)
		})
	}
}

// Guards against a body that came for a reserved slot and begins in a slow spell,
// and against one that waits for longer than a spell.
func TestReservedRunsWaitForTheEndOfASpell(t *testing.T) {
	g := gate(2)
	run, v := g.Enter(Request{Kind: "k", Objective: epoch.Add(time.Millisecond), Deadline: epoch.Add(time.Second), Last: true}, epoch)
	assert.Equal(t, v, Start)
	g.Slowdown.Observe(1, epoch)
	g.Slowdown.Observe(5, epoch)
	assert.Assert(t, !g.Begin(run, epoch))
	g.Slowdown.Observe(5, epoch.Add(100*time.Millisecond))
	assert.Assert(t, !g.Begin(run, epoch.Add(100*time.Millisecond)))
	g.Slowdown.Observe(5, epoch.Add(spellTime))
	assert.Assert(t, g.Begin(run, epoch.Add(spellTime)))
}

// Guards against slow runs that fill the slots of an overloaded server: replays
// 60 s of spells with arrivals at the rate of the whole capacity.
func TestWaitingForSpellsServesMore(t *testing.T) {
	fresh, stale, blind := spells(1, 0), spells(1, 40*time.Millisecond), spells(1, time.Hour)
	assert.Assert(t, fresh > stale, "%.2f were on time with fresh figures, %.2f with old ones", fresh, stale)
	assert.Assert(t, stale > blind+0.10, "%.2f were on time with old figures, %.2f without", stale, blind)
}

// spells runs a server of 8 slots in steps of 1 ms, slow for a quarter of the time,
// and returns the share of requests that were on time. Figures are renewed each
// interval, or always when it is zero.
func spells(seed uint64, interval time.Duration) float64 {
	const slots, work, aim = 8, 100 * time.Millisecond, 300 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	g := gate(slots)
	type running struct {
		run  *Run
		ends time.Time
		due  time.Time
	}
	var runs []running
	asked, onTime := 0, 0
	factor, change, told := 5.0, epoch, epoch.Add(-interval)
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if !now.Before(change) {
			mean := 150 * time.Millisecond
			if factor = 6 - factor; factor == 1 {
				mean = 450 * time.Millisecond
			}
			change = now.Add(time.Duration(r.ExpFloat64() * float64(mean)))
		}
		if now.Sub(told) >= interval {
			g.Slowdown.Observe(factor, now)
			told = now
		}
		begin := func(run *Run, due time.Time) {
			runs = append(runs, running{run, now.Add(time.Duration(float64(work) * factor)), due})
		}
		kept := runs[:0]
		var done []*Run
		for _, x := range runs {
			if now.Before(x.ends) {
				kept = append(kept, x)
				continue
			}
			done = append(done, x.run)
			if !now.After(x.due) {
				onTime++
			}
		}
		runs = kept
		for _, run := range done {
			g.Leave(run, true, now)
		}
		g.Tick(now)
		if r.Float64() < 0.050 { // 50 a second, where 60 could be served
			asked++
			due := now.Add(aim)
			var run *Run
			a := Request{Kind: "k", Objective: due, Deadline: due.Add(time.Second), Last: true, Probed: true}
			a.Wake = func(started bool) {
				if started {
					begin(run, due)
				}
			}
			var v Verdict
			if run, v = g.Enter(a, now); v == Start {
				begin(run, due)
			}
		}
	}
	return float64(onTime) / float64(asked)
}

// Guards against a server that gets no work for most of a second after its
// restart, because it is compared with the pace of the process before it.
func TestRestartedServerGetsWork(t *testing.T) {
	for name, c := range map[string]struct {
		restarted bool
		figures   []float64
		want      Verdict
	}{
		"cold, pace of the process before it": {false, []float64{2}, HandBack},
		"cold":                                {true, []float64{2}, Start},
		"cold, in a spell":                    {true, []float64{10}, HandBack},
		"cold, after the spell":               {true, []float64{10, 2}, Start},
	} {
		t.Run(name, func(t *testing.T) {
			var g Limiter
			g.Limit.SetSlots(4)
			now := epoch
			for range 20 {
				g.Slowdown.Observe(1, now)
				now = now.Add(100 * time.Millisecond)
			}
			if c.restarted {
				g.Restarted()
			}
			for _, f := range c.figures {
				g.Slowdown.Observe(f, now)
			}
			_, verdict := g.Enter(Request{Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}, now)
			assert.Equal(t, verdict, c.want)
		})
	}
}
