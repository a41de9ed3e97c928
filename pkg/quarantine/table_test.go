package quarantine

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashOnEach lets the crasher crash the server of each node and merges the incident
// at all nodes. Node n crashes n nanoseconds after start, so that the last node has
// the newest crash.
func crashOnEach(t *testing.T, nodes ...*Table) {
	t.Helper()
	for n, node := range nodes {
		s, ok := node.Begin(crasher, start)
		assert.Assert(t, ok)
		incident, ok := node.Crash("server", s, start.Add(time.Duration(n)))
		assert.Assert(t, ok)
		for _, other := range nodes {
			other.Merge(incident, start.Add(time.Duration(n)))
		}
	}
}

// Guards against a quarantine that never ends, and against trials at all nodes at
// the same time.
func TestOneTrialAfterQuarantine(t *testing.T) {
	// second has the last crash, 1 ns after that of first, so it runs the first trial.
	var first, second Table
	crashOnEach(t, &first, &second)
	for name, c := range map[string]struct {
		node  *Table
		after time.Duration
		want  Verdict
	}{
		"refused immediately":           {&first, 0, Refuse},
		"refused until the end":         {&second, Quarantine, Refuse},
		"tried where it crashed last":   {&second, Quarantine + 1, Alone},
		"refused elsewhere meanwhile":   {&first, Quarantine + 1, Refuse},
		"tried elsewhere later":         {&first, Quarantine + remoteTrialDelay + 1, Alone},
		"expired after the retention":   {&first, retention + 2, Run},
		"expired where it was reported": {&second, retention + 2, Run},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.node.Check(crasher, start.Add(c.after)), c.want)
		})
	}
	trial := start.Add(Quarantine + 1)
	s, ok := second.Begin(crasher, trial)
	assert.Assert(t, ok)
	_, ok = second.Begin(crasher, trial)
	assert.Assert(t, !ok, "second trial started while the first runs")
	release, ok := second.End(s, true, trial)
	assert.Assert(t, ok)
	first.Release(release, trial)
	for _, node := range []*Table{&first, &second} {
		assert.Equal(t, node.Check(crasher, trial), Run)
	}
}

// Guards against the refusal of popular requests that were in flight at two crashes
// with another cause, such as failed hosts.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	var a, b Table
	var running []Start
	for _, node := range []*Table{&a, &b} {
		s, _ := node.Begin(7, start)
		node.Begin(8, start)
		running = append(running, s)
	}
	incident, _ := b.Crash("b", running[1], start)
	a.Merge(incident, start)
	a.Crash("a", running[0], start)
	assert.Equal(t, a.Check(7, start), Alone)
}

// Guards against a harmless request that waits for longer than the suspicion, here
// for another suspect that never ends.
func TestSuspicionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  bool
	}{
		"waits for the other suspect": {Suspicion - 1, false},
		"waits no longer":             {Suspicion, true},
	} {
		t.Run(name, func(t *testing.T) {
			var node Table
			node.Merge(Incident{ID: 1, Fingerprints: []Fingerprint{crasher, 7}}, start)
			node.Begin(crasher, start)
			s, ok := node.Begin(7, start.Add(c.after))
			assert.Assert(t, ok == c.want && s.Verdict != Refuse)
		})
	}
}

// Guards against a late End that removes a request started after the crash.
func TestEndAfterCrashIsIgnored(t *testing.T) {
	var node Table
	s, _ := node.Begin(7, start)
	node.Crash("server", s, start)
	node.Begin(7, start)
	node.End(s, false, start)
	_, ok := node.Begin(7, start)
	assert.Assert(t, !ok, "two suspects run at the same time")
}

// Guards against one crash that is counted twice because two requests in flight
// report it. A harmless request that was started between the reports would count as
// in flight at two crashes.
func TestLateCrashReportIsIgnored(t *testing.T) {
	var node Table
	crashing, _ := node.Begin(crasher, start)
	late, _ := node.Begin(7, start)
	_, ok := node.Crash("server", crashing, start)
	assert.Assert(t, ok)
	_, ok = node.Begin(7, start)
	assert.Assert(t, ok)
	_, ok = node.Crash("server", late, start.Add(time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, node.Check(7, start.Add(time.Millisecond)), Alone)
}

// Guards against memory that grows with the number of incidents, and against a flood
// of incidents that evicts a quarantined request.
func TestMemoryIsBounded(t *testing.T) {
	var node Table
	crashOnEach(t, &node, &node)
	for i := range Fingerprint(3 * maxIncidents) {
		incident := Incident{ID: uint64(i + 1)}
		for n := range Fingerprint(MaxFingerprints) {
			incident.Fingerprints = append(incident.Fingerprints, 1000+i*MaxFingerprints+n)
		}
		assert.Assert(t, node.Merge(incident, start.Add(time.Second)))
	}
	assert.Equal(t, len(node.incidents), maxIncidents)
	assert.Equal(t, len(node.records), maxRecords)
	assert.Equal(t, node.Check(crasher, start.Add(time.Second)), Refuse)
}

// Guards against popular requests that become suspects at each crash and then run one
// at a time on every server. A request that was answered recently is no suspect.
func TestAnsweredRequestsAreNotSuspects(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  Verdict
	}{
		"answered within answerTTL": {time.Second, Run},
		"answered answerTTL ago":    {answerTTL, Alone},
		"answered before that":      {answerTTL + time.Second, Alone},
	} {
		t.Run(name, func(t *testing.T) {
			var node Table
			s, _ := node.Begin(7, start)
			node.End(s, true, start)
			crash := start.Add(c.after)
			node.Begin(7, crash)
			crashing, _ := node.Begin(crasher, crash)
			incident, ok := node.Crash("server", crashing, crash)
			assert.Assert(t, ok)
			assert.Assert(t, slices.Contains(incident.Fingerprints, crasher))
			assert.Equal(t, node.Check(7, crash), c.want)
		})
	}
}
