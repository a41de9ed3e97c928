package lag

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }

// Guards against a node that counts as up to date because it has one of several newer
// versions, and against one that counts as behind since a version that it has.
func TestTracker(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *Tracker)
		behind time.Duration
		newest uint64
	}{
		"nothing known":             {func(*Tracker) {}, 0, 0},
		"own version":               {func(t *Tracker) { t.Applied(5, at(0)); t.Seen(5, at(1)) }, 0, 5},
		"older version":             {func(t *Tracker) { t.Applied(5, at(0)); t.Seen(3, at(1)) }, 0, 5},
		"newer version":             {func(t *Tracker) { t.Applied(5, at(0)); t.Seen(7, at(1)) }, 9 * time.Second, 7},
		"seen again":                {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(7, at(5)) }, 9 * time.Second, 7},
		"the newest is had":         {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(8, at(2)); t.Applied(8, at(3)) }, 0, 8},
		"a newer one is missing":    {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(9, at(4)); t.Applied(8, at(5)) }, 6 * time.Second, 9},
		"an older one comes late":   {func(t *Tracker) { t.Applied(8, at(1)); t.Applied(7, at(2)) }, 0, 8},
		"older sighting comes late": {func(t *Tracker) { t.Seen(9, at(2)); t.Seen(8, at(3)) }, 8 * time.Second, 9},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			c.change(&tracker)
			assert.Equal(t, tracker.Behind(at(10)), c.behind)
			assert.Equal(t, tracker.Newest(), c.newest)
		})
	}
}

// Guards against a node that serves an old version without end although others tell it of a
// newer one, and against one that refuses requests although nobody tells it anything.
func TestOutdated(t *testing.T) {
	const limit = 2 * time.Second
	for name, c := range map[string]struct {
		change func(t *Tracker)
		limit  time.Duration
		want   bool
	}{
		"up to date":             {func(t *Tracker) { t.Applied(7, at(1)); t.Seen(7, at(10)) }, limit, false},
		"behind for a moment":    {func(t *Tracker) { t.Seen(7, at(9)); t.Seen(7, at(10)) }, limit, false},
		"behind, still told":     {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(7, at(10)) }, limit, true},
		"behind, told no more":   {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(7, at(5)) }, limit, false},
		"one of two is missing":  {func(t *Tracker) { t.Seen(7, at(1)); t.Applied(7, at(2)); t.Seen(8, at(10)) }, limit, false},
		"no limit":               {func(t *Tracker) { t.Seen(7, at(1)); t.Seen(7, at(10)) }, 0, false},
		"version cannot be used": {func(t *Tracker) { t.Seen(7, at(1)); t.Applied(7, at(2)); t.Seen(7, at(10)) }, limit, false},
	} {
		t.Run(name, func(t *testing.T) {
			var tracker Tracker
			c.change(&tracker)
			assert.Equal(t, tracker.Outdated(at(10), c.limit), c.want)
		})
	}
}

// Guards against memory that grows with the versions of a storm, and against a lag that is
// understated because sightings were dropped.
func TestSightingsAreBounded(t *testing.T) {
	var tracker Tracker
	for i := range 10 * maxSightings {
		assert.Assert(t, tracker.Seen(uint64(i+1), at(i)))
	}
	assert.Equal(t, len(tracker.newer), maxSightings)
	tracker.Applied(maxSightings, at(1000))
	assert.Equal(t, tracker.Behind(at(1000)), at(1000).Sub(at(maxSightings-1)))
	tracker.Applied(10*maxSightings, at(1000))
	assert.Equal(t, tracker.Behind(at(1000)), time.Duration(0))
}

// Guards against a version that is awaited from one slow node only, and against a fetch for
// each message that names it.
func TestFetches(t *testing.T) {
	var f Fetches
	assert.Assert(t, f.Begin("a", at(0)))
	assert.Assert(t, !f.Begin("b", at(0)), "the first node has no time to answer")
	assert.Assert(t, !f.Begin("a", at(5)), "asked twice")
	assert.Assert(t, f.Begin("b", at(5)))
	assert.Assert(t, f.Begin("c", at(6)))
	assert.Assert(t, !f.Begin("d", at(9)), "too many")
	f.End("b")
	assert.Assert(t, f.Begin("d", at(9)))
	for _, node := range []string{"a", "c", "d"} {
		f.End(node)
	}
	assert.Assert(t, f.Begin("a", at(9)), "nothing runs")
}
