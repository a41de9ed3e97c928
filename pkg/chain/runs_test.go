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
