package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func entry(node string, start int64, change uint64) Entry {
	return Entry{Node: node, Start: start, Change: change, Addr: "addr-" + node, Domain: "d", Region: "r", Service: "s", Server: "i", State: Ready}
}

// Guards against late and repeated entries that restore an older state.
func TestMergeKeepsTheNewest(t *testing.T) {
	for name, c := range map[string]struct {
		first, second Entry
		want          bool
	}{
		"newer change": {entry("a", 1, 1), entry("a", 1, 2), true},
		"same change":  {entry("a", 1, 2), entry("a", 1, 2), false},
		"older change": {entry("a", 1, 3), entry("a", 1, 2), false},
		"restart":      {entry("a", 1, 9), entry("a", 2, 1), true},
		"before start": {entry("a", 2, 1), entry("a", 1, 9), false},
		"other node":   {entry("a", 1, 1), entry("b", 1, 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			var r Roster
			assert.Assert(t, r.Merge(c.first, time.Time{}))
			assert.Equal(t, r.Merge(c.second, time.Time{}), c.want)
		})
	}
}

// Guards against two nodes at one address, of which one is long gone.
func TestAddressBelongsToTheLaterNode(t *testing.T) {
	var r Roster
	old, later := entry("a", 1, 1), entry("b", 2, 1)
	later.Addr = old.Addr
	r.Merge(old, time.Time{})
	assert.Assert(t, r.Merge(later, time.Time{}))
	_, known := r.Get("a")
	assert.Assert(t, !known)
	assert.Assert(t, !r.Merge(old, time.Time{}), "the node that was replaced came back")
}

// Guards against a result that depends on the order of arrival.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Entry
		for range rapid.IntRange(1, 12).Draw(t, "n") {
			entries = append(entries, entry(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				rapid.Int64Range(1, 3).Draw(t, "start"), rapid.Uint64Range(1, 4).Draw(t, "change")))
		}
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		var one, two Roster
		for i := range entries {
			one.Merge(entries[i], time.Time{})
			two.Merge(shuffled[i], time.Time{})
		}
		one.Each(func(e Entry) {
			other, ok := two.Get(e.Node)
			assert.Assert(t, ok)
			assert.Equal(t, other, e)
		})
	})
}

// Guards against malformed entries from other nodes.
func TestCheckEntry(t *testing.T) {
	for name, change := range map[string]func(e *Entry){
		"no node":    func(e *Entry) { e.Node = "" },
		"no address": func(e *Entry) { e.Addr = "" },
		"state":      func(e *Entry) { e.State = "asleep" },
		"slots":      func(e *Entry) { e.Slots = -1 },
		"long":       func(e *Entry) { e.Service = string(make([]byte, 300)) },
		"line end":   func(e *Entry) { e.Service = "stock\r\n" },
		"server":     func(e *Entry) { e.Server = "i-1\r\n" },
		"not UTF-8":  func(e *Entry) { e.Node = "a\xff" },
	} {
		t.Run(name, func(t *testing.T) {
			e := entry("a", 1, 1)
			assert.NilError(t, e.Check())
			change(&e)
			assert.Assert(t, e.Check() != nil)
		})
	}
}

// Guards against a delayed report of a replaced server that changes the state of its
// successor.
func TestServerIgnoresStaleReports(t *testing.T) {
	for name, c := range map[string]struct {
		first, second Report
		stale         bool
	}{
		"next":                 {Report{ID: "i", State: Ready, StartTime: 5, Seq: 1}, Report{ID: "i", State: Draining, StartTime: 5, Seq: 2}, false},
		"late":                 {Report{ID: "i", State: Draining, StartTime: 5, Seq: 2}, Report{ID: "i", State: Ready, StartTime: 5, Seq: 1}, true},
		"predecessor":          {Report{ID: "j", State: Ready, StartTime: 9, Seq: 1}, Report{ID: "i", State: Ready, StartTime: 5, Seq: 40}, true},
		"successor":            {Report{ID: "i", State: Ready, StartTime: 5, Seq: 40}, Report{ID: "j", State: Ready, StartTime: 9, Seq: 1}, false},
		"restart with same id": {Report{ID: "i", State: Draining, StartTime: 5, Seq: 40}, Report{ID: "i", State: Ready, StartTime: 9, Seq: 1}, false},
		"after probe":          {Report{ID: "i", State: Ready}, Report{ID: "i", State: Ready, StartTime: 5, Seq: 1}, false},
		"after deregistration": {Report{ID: "i", State: Gone, StartTime: 5, Seq: 2}, Report{ID: "i", State: Ready, StartTime: 5, Seq: 3}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Server
			s.Apply(c.first, time.Time{})
			_, stale := s.Apply(c.second, time.Time{})
			assert.Equal(t, stale, c.stale)
		})
	}
}

// Guards against a deregistration of an earlier server that marks its successor as
// gone.
func TestMarkGoneChecksTheServer(t *testing.T) {
	s := Server{Report: Report{ID: "j", StartTime: 9, State: Ready}}
	assert.Assert(t, !s.MarkGone("i", 0, time.Time{}))
	assert.Assert(t, !s.MarkGone("j", 5, time.Time{}))
	assert.Assert(t, s.MarkGone("j", 9, time.Time{}))
	assert.Equal(t, s.State, Gone)
}

// Guards against a server that returns to service because of a heartbeat that was in
// flight when it deregistered, where its node had found it without learning its
// start time.
func TestLateReportAfterDeregistration(t *testing.T) {
	for name, c := range map[string]struct {
		found, late Report
		// startTime is the start time in the deregistration, or zero if it has none.
		startTime int64
		// after is the time from the deregistration to the report.
		after time.Duration
		stale bool
	}{
		"found by a probe":               {Report{ID: "a", State: Draining}, Report{ID: "a", State: Ready, StartTime: 7, Seq: 15}, 7, 2 * time.Second, true},
		"known by a heartbeat":           {Report{ID: "a", State: Ready, StartTime: 7, Seq: 16}, Report{ID: "a", State: Ready, StartTime: 7, Seq: 17}, 7, 2 * time.Second, true},
		"restarted since":                {Report{ID: "a", State: Draining}, Report{ID: "a", State: Ready, StartTime: 8, Seq: 1}, 7, 2 * time.Second, false},
		"of the predecessor":             {Report{ID: "a", State: Draining}, Report{ID: "b", State: Ready, StartTime: 6, Seq: 40}, 7, 2 * time.Second, true},
		"of a successor":                 {Report{ID: "a", State: Draining}, Report{ID: "b", State: Ready, StartTime: 9, Seq: 1}, 7, 2 * time.Second, false},
		"no start time":                  {Report{ID: "a", State: Draining}, Report{ID: "a", State: Ready, StartTime: 999, Seq: 15}, 0, 2 * time.Second, true},
		"no start time, but known":       {Report{ID: "a", State: Ready, StartTime: 7, Seq: 16}, Report{ID: "a", State: Ready, StartTime: 7, Seq: 17}, 0, 2 * time.Second, true},
		"deregistration comes first":     {Report{}, Report{ID: "a", State: Ready, StartTime: 999, Seq: 15}, 0, 2 * time.Second, true},
		"comes first, has start time":    {Report{}, Report{ID: "a", State: Ready, StartTime: 7, Seq: 15}, 7, 2 * time.Second, true},
		"comes first, successor":         {Report{}, Report{ID: "b", State: Ready, StartTime: 999, Seq: 1}, 0, 2 * time.Second, false},
		"no start time, restarted":       {Report{ID: "a", State: Draining}, Report{ID: "a", State: Ready, StartTime: 1001, Seq: 1}, 0, 2 * time.Second, false},
		"no start time, successor":       {Report{ID: "a", State: Draining}, Report{ID: "b", State: Ready, StartTime: 999, Seq: 1}, 0, 2 * time.Second, false},
		"no start time, clock was ahead": {Report{ID: "a", State: Draining}, Report{ID: "a", State: Ready, StartTime: 999, Seq: 40}, 0, MaxReportDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s Server
			if c.found.ID != "" {
				_, stale := s.Apply(c.found, time.UnixMilli(900))
				assert.Assert(t, !stale)
			}
			assert.Assert(t, s.MarkGone("a", c.startTime, time.UnixMilli(1000)))
			_, stale := s.Apply(c.late, time.UnixMilli(1000).Add(c.after))
			assert.Equal(t, stale, c.stale)
			assert.Equal(t, s.State == Gone, c.stale)
		})
	}
}
