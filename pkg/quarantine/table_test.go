package quarantine

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func run2(t *testing.T, nodes ...*Table) {
	t.Helper()
	for n, node := range nodes {
		s, ok := node.Begin(killer, start)
		assert.Assert(t, ok)
		incident, ok := node.Crash("server", s, start.Add(time.Duration(n)))
		assert.Assert(t, ok)
		for _, other := range nodes {
			other.Merge(incident, start.Add(time.Duration(n)))
		}
	}
}

// Guards against a quarantine that never ends, and against a trial at every
// node at once.
func TestOneTrialAfterTheQuarantine(t *testing.T) {
	var first, second Table
	run2(t, &first, &second)
	for name, c := range map[string]struct {
		node  *Table
		after time.Duration
		want  Verdict
	}{
		"refused at once":                 {&first, 0, Refuse},
		"refused until the end":           {&second, Quarantine, Refuse},
		"tried where it crashed last":     {&second, Quarantine + 1, Alone},
		"refused elsewhere meanwhile":     {&first, Quarantine + 1, Refuse},
		"tried elsewhere later":           {&first, Quarantine + headStart + 1, Alone},
		"forgotten after the retention":   {&first, retention + 2, Run},
		"forgotten where it was reported": {&second, retention + 2, Run},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.node.Check(killer, start.Add(c.after)), c.want)
		})
	}
	trial := start.Add(Quarantine + 1)
	s, ok := second.Begin(killer, trial)
	assert.Assert(t, ok)
	_, ok = second.Begin(killer, trial)
	assert.Assert(t, !ok, "a second trial beside the first")
	release, ok := second.End(s, true, trial)
	assert.Assert(t, ok)
	first.Release(release, trial)
	for _, node := range []*Table{&first, &second} {
		assert.Equal(t, node.Check(killer, trial), Run)
	}
}

// Guards against popular requests that are refused because they were in flight
// at two crashes of other cause, such as lost hosts.
func TestPopularRequestIsNotConvicted(t *testing.T) {
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

// Guards against an innocent that waits for longer than the suspicion, here
// for another suspect that does not end.
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
			node.Merge(Incident{ID: 1, Fingerprints: []Fingerprint{killer, 7}}, start)
			node.Begin(killer, start)
			s, ok := node.Begin(7, start.Add(c.after))
			assert.Assert(t, ok == c.want && s.Verdict != Refuse)
		})
	}
}

// Guards against a late End that ends a request started after the crash.
func TestEndAfterCrashEndsNothing(t *testing.T) {
	var node Table
	s, _ := node.Begin(7, start)
	node.Crash("server", s, start)
	node.Begin(7, start)
	node.End(s, false, start)
	_, ok := node.Begin(7, start)
	assert.Assert(t, !ok, "a suspect beside a suspect")
}

// Guards against an innocent that is convicted because it was started after a
// crash which another request notices only then.
func TestLateReportOfACrash(t *testing.T) {
	var node Table
	kill, _ := node.Begin(killer, start)
	late, _ := node.Begin(7, start)
	_, ok := node.Crash("server", kill, start)
	assert.Assert(t, ok)
	_, ok = node.Begin(7, start)
	assert.Assert(t, ok)
	_, ok = node.Crash("server", late, start.Add(time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, node.Check(7, start.Add(time.Millisecond)), Alone)
}

// Guards against memory that grows with the number of incidents, and against
// a flood that frees a quarantined request.
func TestMemoryIsBounded(t *testing.T) {
	var node Table
	run2(t, &node, &node)
	for i := range Fingerprint(3 * maxIncidents) {
		incident := Incident{ID: uint64(i + 1)}
		for n := range Fingerprint(MaxFingerprints) {
			incident.Fingerprints = append(incident.Fingerprints, 1000+i*MaxFingerprints+n)
		}
		assert.Assert(t, node.Merge(incident, start.Add(time.Second)))
	}
	assert.Equal(t, len(node.incidents), maxIncidents)
	assert.Equal(t, len(node.records), maxRecords)
	assert.Equal(t, node.Check(killer, start.Add(time.Second)), Refuse)
}

// Guards against popular lookups that become suspects at each crash, and then
// run one at a time on every server.
func TestAnsweredRequestsAreNoSuspects(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  Verdict
	}{
		"answered a moment ago":  {time.Second, Run},
		"answered long ago":      {answeredTime, Alone},
		"answered and forgotten": {answeredTime + time.Second, Alone},
	} {
		t.Run(name, func(t *testing.T) {
			var node Table
			s, _ := node.Begin(7, start)
			node.End(s, true, start)
			crash := start.Add(c.after)
			node.Begin(7, crash)
			kill, _ := node.Begin(killer, crash)
			incident, ok := node.Crash("server", kill, crash)
			assert.Assert(t, ok)
			assert.Assert(t, slices.Contains(incident.Fingerprints, killer))
			assert.Equal(t, node.Check(7, crash), c.want)
		})
	}
}
