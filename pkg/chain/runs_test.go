package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against calls that are linked to a request that has ended, and against failed
// calls that count for another one.
func TestRuns(t *testing.T) {
	var r Runs
	deadline := time.Unix(100, 0)
	_, ok := r.Parent("a")
	assert.Assert(t, !ok)
	r.Add("a", 2, deadline)
	r.Add("b", 1, deadline)
	run, ok := r.Parent("a")
	assert.Assert(t, ok)
	assert.Equal(t, run.Deadline, deadline)
	r.Called("a", "t", map[string]int{"u": 2}, true)
	r.Called("a", "t", nil, false)
	r.Called("unknown", "t", nil, true)
	r.Add("a", 2, deadline) // a second try at the same server
	summary := Summary{Calls: map[string]int{"t": 2, "u": 2}, Failed: true}
	assert.DeepEqual(t, r.Remove("a"), summary)
	_, ok = r.Parent("a")
	assert.Assert(t, ok, "one of two requests has ended")
	assert.DeepEqual(t, r.Remove("a"), summary)
	assert.DeepEqual(t, r.Remove("b"), Summary{})
	assert.DeepEqual(t, r.Remove("b"), Summary{})
	_, ok = r.Parent("a")
	assert.Assert(t, !ok)
}

// Guards against calls that wait behind new work, and against those of less urgent
// requests that displace more urgent ones.
func TestCallPriority(t *testing.T) {
	for name, c := range map[string]struct{ own, parent, want int }{
		"of a less urgent request": {5, 2, 1},
		"of the most urgent one":   {5, 0, 0},
		"more urgent by its route": {0, 3, 0},
		"equal":                    {1, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Run{Priority: c.parent}.CallPriority(c.own), c.want)
		})
	}
}

// Guards against calls that count as requests of clients because nothing in them names the
// request that makes them, and against requests of clients that count as calls.
func TestSource(t *testing.T) {
	now := time.Unix(1000, 0)
	const second = time.Second
	for name, c := range map[string]struct {
		// runs holds the time left of the running requests.
		runs map[string]time.Duration
		// named is how long ago a call named its request; zero means never.
		named  time.Duration
		parent string
		left   time.Duration
		want   Source
	}{
		"nothing runs":              {nil, 0, "", second, Client},
		"nothing runs, no deadline": {nil, 0, "", -1, Client},
		"names a running request":   {map[string]time.Duration{"a": second}, 0, "a", second, Call},
		"names it, later deadline":  {map[string]time.Duration{"a": second}, 0, "a", 2 * second, Call},
		"names another one":         {map[string]time.Duration{"a": second}, 0, "b", second, Unclear},
		"at the deadline of a run":  {map[string]time.Duration{"a": second}, 0, "", second, Unclear},
		"before that":               {map[string]time.Duration{"a": second}, 0, "", second / 4, Unclear},
		"a little later":            {map[string]time.Duration{"a": second}, 0, "", second + deadlineSlack, Unclear},
		"later than every run":      {map[string]time.Duration{"a": second, "b": second / 2}, 0, "", second + 2*deadlineSlack, Client},
		"later than one run":        {map[string]time.Duration{"a": second, "b": 2 * second}, 0, "", second + 2*deadlineSlack, Unclear},
		"no deadline":               {map[string]time.Duration{"a": second}, 0, "", -1, Unclear},
		"calls name their requests": {map[string]time.Duration{"a": second}, second, "", second / 4, Client},
		"calls named them before":   {map[string]time.Duration{"a": second}, namedTTL, "", second / 4, Unclear},
		"its run is over time":      {map[string]time.Duration{"a": -second}, 0, "", second, Client},
	} {
		t.Run(name, func(t *testing.T) {
			var r Runs
			if c.named > 0 {
				r.Add("named", 1, now)
				_, source := r.Source("named", now, now.Add(-c.named))
				assert.Equal(t, source, Call)
				r.Remove("named")
			}
			for id, left := range c.runs {
				r.Add(id, 1, now.Add(left))
			}
			deadline := now.Add(c.left)
			if c.left < 0 {
				deadline = time.Time{}
			}
			parent, source := r.Source(c.parent, deadline, now)
			assert.Equal(t, source, c.want)
			assert.Equal(t, parent.Priority == 1, source == Call)
		})
	}
}

// Guards against requests that may be calls and count for runs that cannot have made them,
// or for none.
func TestUnclearEnded(t *testing.T) {
	var r Runs
	now := time.Unix(1000, 0)
	r.Add("late", 1, now.Add(2*time.Second))
	r.Add("next", 1, now.Add(time.Second))
	r.Add("early", 1, now.Add(time.Second/10))
	r.UnclearEnded(now.Add(time.Second/4), "t", map[string]int{"u": 2}, true)
	r.UnclearEnded(now.Add(time.Second/4), "t", nil, false)
	r.UnclearEnded(now.Add(time.Second+2*deadlineSlack), "t", nil, false)
	r.UnclearEnded(now.Add(time.Minute), "t", nil, true)
	assert.DeepEqual(t, r.Remove("next"), Summary{Calls: map[string]int{"t": 2, "u": 2}, MayHaveFailed: true})
	assert.DeepEqual(t, r.Remove("late"), Summary{Calls: map[string]int{"t": 1}, MayHaveFailed: true})
	assert.DeepEqual(t, r.Remove("early"), Summary{})
}
