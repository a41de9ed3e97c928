package outlier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an ejection that comes too early, too late or never.
func TestEjection(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes string // . good, s slow, f failed
		want     outlier.State
		cause    outlier.Cause
	}{
		"good":               {"..........", outlier.Serving, outlier.CauseNone},
		"fails fast":         {"...fff", outlier.Ejected, outlier.CauseFailures},
		"one failure":        {"..f..f", outlier.Serving, outlier.CauseNone},
		"fails two in three": {"ff.ff.ff.ff.ff.ff.ff.ff.ff.ff.ff.ff.ff", outlier.Ejected, outlier.CauseFailures},
		"slow":               {"...sss", outlier.Ejected, outlier.CauseSlow},
		"sometimes slow":     {".s.ss.s.ss", outlier.Serving, outlier.CauseNone},
	} {
		t.Run(name, func(t *testing.T) {
			g := outlier.Group{Size: 10}
			var r outlier.Record
			run(&g, &r, c.outcomes, start)
			assert.Equal(t, r.State(start), c.want)
			assert.Equal(t, r.Cause(), c.cause)
		})
	}
}

func run(g *outlier.Group, r *outlier.Record, outcomes string, now time.Time) {
	for _, o := range outcomes {
		switch o {
		case 'f':
			g.Failed(r, now)
		case 'c':
			g.Canceled(r, 2.5, now)
		case 's':
			g.Answered(r, 5, now)
		default:
			g.Answered(r, 1, now)
		}
	}
}

// Guards against ejecting so many servers that the rest is overloaded.
func TestShareOut(t *testing.T) {
	for name, c := range map[string]struct{ size, want int }{
		"one": {1, 0}, "two": {2, 1}, "ten": {10, 2}, "hundred": {100, 20},
	} {
		t.Run(name, func(t *testing.T) {
			g := outlier.Group{Size: c.size}
			records := make([]outlier.Record, c.size)
			for i := range records {
				run(&g, &records[i], "ffff", start)
			}
			assert.Equal(t, g.Ejected(), c.want)
		})
	}
}

// Guards against a return without trial requests, against trials at once by
// many requests, and against a time out that does not grow.
func TestRecovery(t *testing.T) {
	g := outlier.Group{Size: 10}
	var r outlier.Record
	run(&g, &r, "fff", start)
	assert.Assert(t, !g.TrialDue(&r, start.Add(99*time.Millisecond)))
	now := start.Add(100 * time.Millisecond)
	run(&g, &r, "....", now)
	assert.Equal(t, r.State(now), outlier.Trial, "answers to old requests are no trials")

	trial := func(outcome string, want outlier.State) {
		t.Helper()
		assert.Assert(t, g.TrialDue(&r, now))
		g.BeginTrial(&r, now)
		assert.Assert(t, !g.TrialDue(&r, now))
		run(&g, &r, outcome, now)
		assert.Equal(t, r.State(now), want)
	}
	trial("s", outlier.Ejected)
	assert.Equal(t, r.Until(), now.Add(200*time.Millisecond))
	now = r.Until()
	// A trial that a hedge overtook fails; otherwise the next one would follow
	// at once.
	trial("c", outlier.Ejected)
	now = r.Until()
	trial(".", outlier.Trial)
	trial(".", outlier.Serving)
	assert.Equal(t, g.Ejected(), 0)
}

// Guards against a server that is fast again and waits out a time that failed
// trials doubled, although many requests could have tried it, and against
// trials of a failing server beyond that time.
func TestTrialAfterManyRequests(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes string
		want     bool
	}{
		"slow": {"sss", true}, "failing": {"fff", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := outlier.Group{Size: 10, Config: outlier.Config{BaseEjectionTime: time.Hour, MaxEjectionTime: time.Hour}}
			var r outlier.Record
			run(&g, &r, c.outcomes, start)
			for range 499 {
				assert.Assert(t, !g.TrialDue(&r, start))
			}
			assert.Equal(t, g.TrialDue(&r, start), c.want)
		})
	}
}
