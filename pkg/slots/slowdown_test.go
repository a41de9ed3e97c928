package slots

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against durations in a slow period that enter the means: the limit and the
// estimates would follow the load of the host instead of the server.
func TestMeansExcludeSlowPeriods(t *testing.T) {
	l := newLimiter(4)
	var woken []int
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * time.Second)
		l.Slowdown.Observe(1, now)
		l.Slowdown.Observe([]float64{1, 5}[i%2], now)
		run, v := l.Enter(Request{Kind: "k", Objective: now.Add(time.Hour), Last: true, Wake: newRequest(1, 0, true, &woken, 1).Wake}, now)
		assert.Equal(t, v, Start)
		l.Leave(run, true, now.Add([]time.Duration{60, 300}[i%2]*time.Millisecond))
	}
	assert.Equal(t, l.UsualDuration("k"), 60*time.Millisecond)
	assert.Assert(t, !l.Slowdown.Slow(epoch.Add(time.Minute)), "an old figure is used")
}

// Guards against requests that start in a slow period because the last figure was
// reported before it.
func TestStaleSlowdownNeedsProbe(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		probed bool
		want   Verdict
	}{
		"fresh":           {maxStartAge, false, Start},
		"old":             {maxStartAge + 1, false, Probe},
		"old, but probed": {time.Second, true, Start},
		"never reported":  {-1, false, Start},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(4)
			if c.age >= 0 {
				l.Slowdown.Observe(1, epoch.Add(-c.age))
			}
			var woken []int
			a := newRequest(1, time.Second, false, &woken, 1)
			a.Probed = c.probed
			_, v := l.Enter(a, epoch)
			assert.Equal(t, v, c.want)
		})
	}
}

// Guards against a server that is slow after its start and gets no requests until it
// has warmed up, and against durations of that time that stay in the mean.
func TestColdServerGetsRequests(t *testing.T) {
	l := newLimiter(4)
	var woken []int
	now := epoch
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		l.Slowdown.Observe(2, now)
		a := newRequest(1, 0, false, &woken, 1)
		a.Objective = now.Add(time.Hour)
		run, v := l.Enter(a, now)
		assert.Equal(t, v, Start)
		l.Leave(run, true, now.Add(120*time.Millisecond))
	}
	assert.Equal(t, l.UsualDuration("k"), 120*time.Millisecond)
	l.Slowdown.Observe(10, now)
	assert.Assert(t, l.Slowdown.Slow(now), "a slow period of a cold server is not detected")
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		l.Slowdown.Observe(1, now)
	}
	assert.Equal(t, l.UsualDuration("k"), 60*time.Millisecond)
}

// Guards against a request that starts in a slow period, where it takes five times
// as long, although the period will end in time; and against a refusal after the
// wait of a request that could still have been served late.
func TestRequestsWaitForEndOfSlowPeriod(t *testing.T) {
	l := newLimiter(4)
	var woken []int
	l.Slowdown.Observe(1, epoch)
	l.Slowdown.Observe(5, epoch)
	_, v := l.Enter(newRequest(1, 240*time.Millisecond, true, &woken, 1), epoch)
	assert.Equal(t, v, Wait)
	l.Tick(epoch.Add(20 * time.Millisecond))
	assert.Equal(t, len(woken), 0)
	l.Slowdown.Observe(1, epoch.Add(60*time.Millisecond))
	l.Tick(epoch.Add(60 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{1})

	l.Slowdown.Observe(5, epoch.Add(70*time.Millisecond))
	run, v := l.Enter(newRequest(1, 290*time.Millisecond, true, &woken, 2), epoch.Add(70*time.Millisecond))
	assert.Equal(t, v, Wait)
	assert.Equal(t, run.Until(), epoch.Add(240*time.Millisecond))
	l.Tick(epoch.Add(250 * time.Millisecond))
	assert.DeepEqual(t, woken, []int{1, 2})
	assert.Equal(t, l.Running(), 2)
}

// Guards against a late request that starts in a slow period and occupies a slot in
// which four others could run; and against such a request that waits for longer than
// a slow period, or takes the slot of a request that can meet its objective.
func TestLateRequestsWaitForEndOfSlowPeriod(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		// factors are the figures after 100, 200 and 300 ms.
		factors []float64
		// due is the objective of the late request. The objective of the other one,
		// which arrives after 50 ms, is at 290 ms.
		due   time.Duration
		after []int
	}{
		"starts after the slow period, behind the one on time": {factors: []float64{1}, due: 40 * ms, after: []int{2, 1}},
		"becomes late while it waits":                          {factors: []float64{5, 1}, due: 160 * ms, after: []int{2, 1}},
		"is refused when the slow period does not end":         {factors: []float64{5, 5, 5}, due: 40 * ms, after: []int{-1}},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLimiter(2)
			var woken []int
			l.Slowdown.Observe(1, epoch)
			l.Slowdown.Observe(5, epoch)
			late := newRequest(1, c.due, true, &woken, 1)
			late.Probed = true
			_, v := l.Enter(late, epoch.Add(10*ms))
			assert.Equal(t, v, Wait)
			other := newRequest(1, 290*ms, true, &woken, 2)
			other.Probed = true
			_, v = l.Enter(other, epoch.Add(50*ms))
			assert.Equal(t, v, Wait)
			for i, factor := range c.factors {
				at := epoch.Add(time.Duration(i+1) * 100 * ms)
				l.Slowdown.Observe(factor, at)
				l.Tick(at)
			}
			assert.DeepEqual(t, woken, c.after)
		})
	}
}

// Guards against a request body that arrives for a reserved slot and starts in a
// slow period, and against one that waits for longer than a slow period.
func TestReservedRunsWaitForEndOfSlowPeriod(t *testing.T) {
	l := newLimiter(2)
	run, v := l.Enter(Request{Kind: "k", Objective: epoch.Add(time.Millisecond), Deadline: epoch.Add(time.Second), Last: true}, epoch)
	assert.Equal(t, v, Start)
	l.Slowdown.Observe(1, epoch)
	l.Slowdown.Observe(5, epoch)
	assert.Assert(t, !l.Begin(run, epoch))
	l.Slowdown.Observe(5, epoch.Add(100*time.Millisecond))
	assert.Assert(t, !l.Begin(run, epoch.Add(100*time.Millisecond)))
	l.Slowdown.Observe(5, epoch.Add(defaultSlowPeriod))
	assert.Assert(t, l.Begin(run, epoch.Add(defaultSlowPeriod)))
}

// Guards against slow runs that fill the slots of an overloaded server. Simulates 60
// s of slow periods with arrivals at nearly the full capacity.
func TestWaitingForSlowPeriodsServesMore(t *testing.T) {
	fresh, stale, blind := simulateSlowPeriods(1, 0), simulateSlowPeriods(1, 40*time.Millisecond), simulateSlowPeriods(1, time.Hour)
	assert.Assert(t, fresh > stale, "%.2f were on time with fresh figures, %.2f with stale ones", fresh, stale)
	assert.Assert(t, stale > blind+0.10, "%.2f were on time with stale figures, %.2f without", stale, blind)
}

// simulateSlowPeriods runs a server of 8 slots in steps of 1 ms that is slow for a
// quarter of the time, and returns the share of requests that met their objective.
// The figures are renewed at each interval, or in every step if it is zero.
func simulateSlowPeriods(seed uint64, interval time.Duration) float64 {
	const slots, work, objective = 8, 100 * time.Millisecond, 300 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 1))
	l := newLimiter(slots)
	type running struct {
		run  *Run
		ends time.Time
		due  time.Time
	}
	var runs []running
	asked, onTime := 0, 0
	factor, change, reported := 5.0, epoch, epoch.Add(-interval)
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(time.Millisecond) {
		if !now.Before(change) {
			mean := 150 * time.Millisecond
			if factor = 6 - factor; factor == 1 {
				mean = 450 * time.Millisecond
			}
			change = now.Add(time.Duration(r.ExpFloat64() * float64(mean)))
		}
		if now.Sub(reported) >= interval {
			l.Slowdown.Observe(factor, now)
			reported = now
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
			l.Leave(run, true, now)
		}
		l.Tick(now)
		if r.Float64() < 0.050 { // 50 a second of the 60 that could be served
			asked++
			due := now.Add(objective)
			var run *Run
			a := Request{Kind: "k", Objective: due, Deadline: due.Add(time.Second), Last: true, Probed: true}
			a.Wake = func(started bool) {
				if started {
					begin(run, due)
				}
			}
			var v Verdict
			if run, v = l.Enter(a, now); v == Start {
				begin(run, due)
			}
		}
	}
	return float64(onTime) / float64(asked)
}

// Guards against a server that gets no requests for most of a second after its
// restart, because it is compared with the slowdown of the previous process.
func TestRestartedServerGetsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		restarted bool
		figures   []float64
		want      Verdict
	}{
		"cold, slowdown of the previous process": {false, []float64{2}, HandBack},
		"cold":                                   {true, []float64{2}, Start},
		"cold, in a slow period":                 {true, []float64{10}, HandBack},
		"cold, after the slow period":            {true, []float64{10, 2}, Start},
	} {
		t.Run(name, func(t *testing.T) {
			var l Limiter
			l.Limit.SetSlots(4)
			now := epoch
			for range 20 {
				l.Slowdown.Observe(1, now)
				now = now.Add(100 * time.Millisecond)
			}
			if c.restarted {
				l.Restarted()
			}
			for _, f := range c.figures {
				l.Slowdown.Observe(f, now)
			}
			_, verdict := l.Enter(Request{Kind: "k", Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}, now)
			assert.Equal(t, verdict, c.want)
		})
	}
}

// Guards against a server in a series of long slow periods that counts as usual, and
// against a length that follows a single period.
func TestSlowPeriodsAreLearned(t *testing.T) {
	for name, c := range map[string]struct {
		// periods are the lengths of slow periods, with usual ones of the same length
		// between them.
		periods []time.Duration
		want    time.Duration
	}{
		"none yet":      {nil, defaultSlowPeriod},
		"too few":       {[]time.Duration{500, 500}, defaultSlowPeriod},
		"short":         {[]time.Duration{160, 160, 160, 160}, 160 * time.Millisecond},
		"long":          {[]time.Duration{500, 500, 500, 500}, 500 * time.Millisecond},
		"mixed":         {[]time.Duration{400, 800, 400, 800}, 600 * time.Millisecond},
		"not a period":  {[]time.Duration{500, 500, 500, 2500}, 500 * time.Millisecond},
		"slow for long": {[]time.Duration{10_000}, defaultSlowPeriod},
	} {
		t.Run(name, func(t *testing.T) {
			var s Slowdown
			now := epoch
			s.Observe(1, now)
			for _, length := range c.periods {
				for _, factor := range []float64{7, 1} {
					for end := now.Add(length * time.Millisecond); now.Before(end); {
						s.Observe(factor, now)
						now = now.Add(20 * time.Millisecond)
					}
				}
			}
			assert.Equal(t, s.Period(), c.want)
			if c.want == defaultSlowPeriod {
				return
			}
			for end := now.Add(2 * c.want); now.Before(end); now = now.Add(20 * time.Millisecond) {
				s.Observe(7, now)
				assert.Assert(t, s.Slow(now), "usual after %s", end.Sub(now))
				assert.Assert(t, s.Remaining(now) > 0 && s.Remaining(now) <= c.want)
			}
		})
	}
}
