package outlier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against ejections that are too early, too late or missing.
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
			record(&g, &r, c.outcomes, start)
			assert.Equal(t, r.State(start), c.want)
			assert.Equal(t, r.Cause(), c.cause)
		})
	}
}

func record(g *outlier.Group, r *outlier.Record, outcomes string, now time.Time) {
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

// Guards against the ejection of so many servers that the others are overloaded.
func TestMaxEjectedShare(t *testing.T) {
	for name, c := range map[string]struct{ size, want int }{
		"one": {1, 0}, "two": {2, 1}, "ten": {10, 2}, "hundred": {100, 20},
	} {
		t.Run(name, func(t *testing.T) {
			g := outlier.Group{Size: c.size}
			records := make([]outlier.Record, c.size)
			for i := range records {
				record(&g, &records[i], "ffff", start)
			}
			assert.Equal(t, g.EjectedCount(), c.want)
		})
	}
}

// Guards against a return to service without trial requests, against concurrent
// trials, and against an ejection time that does not grow.
func TestRecovery(t *testing.T) {
	g := outlier.Group{Size: 10}
	var r outlier.Record
	record(&g, &r, "fff", start)
	assert.Assert(t, !g.TrialDue(&r, start.Add(99*time.Millisecond)))
	now := start.Add(100 * time.Millisecond)
	record(&g, &r, "....", now)
	assert.Equal(t, r.State(now), outlier.Trial, "answers to requests from before the ejection are not trials")

	trial := func(outcome string, want outlier.State) {
		t.Helper()
		assert.Assert(t, g.TrialDue(&r, now))
		g.BeginTrial(&r, now)
		assert.Assert(t, !g.TrialDue(&r, now))
		record(&g, &r, outcome, now)
		assert.Equal(t, r.State(now), want)
	}
	trial("s", outlier.Ejected)
	assert.Equal(t, r.Until(), now.Add(200*time.Millisecond))
	now = r.Until()
	// A trial whose hedge answered first fails; otherwise the next trial would be
	// sent immediately.
	trial("c", outlier.Ejected)
	now = r.Until()
	trial(".", outlier.Trial)
	trial(".", outlier.Serving)
	assert.Equal(t, g.EjectedCount(), 0)
}

// Guards against a recovered server that stays ejected for a time doubled by failed
// trials although many requests could have tried it, and against early trials of a
// server that was ejected for failures.
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
			record(&g, &r, c.outcomes, start)
			for range 499 {
				assert.Assert(t, !g.TrialDue(&r, start))
			}
			assert.Equal(t, g.TrialDue(&r, start), c.want)
		})
	}
}
