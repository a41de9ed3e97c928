package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const killer Fingerprint = 1 << 32

// innocent is one request that never crashes a server.
type innocent struct {
	Start
	node    int
	running bool
	// crashed is the time of the crash that it was in, or zero.
	crashed time.Time
}

// fleet is one killer request that is sent again and again, among innocents.
// Incidents and releases reach all nodes before a failure is reported.
type fleet struct {
	nodes     [4]Table
	now       time.Time
	innocents []*innocent
	kill      Start
	at        int // node that runs the killer, or -1
	harmed    int
	next      Fingerprint
	// late are innocents whose failure in a crash is not yet noticed.
	late []innocent
}

func (f *fleet) sendKiller(t *rapid.T) {
	if n := rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node"); f.at < 0 {
		if s, ok := f.nodes[n].Begin(killer, f.now); ok {
			f.kill, f.at = s, n
		}
	}
}

func (f *fleet) crash(t *rapid.T) {
	if f.at < 0 {
		return
	}
	f.harmed++
	incident, ok := f.nodes[f.at].Crash(fmt.Sprint(f.at), f.kill, f.now)
	assert.Assert(t, ok)
	for _, n := range rapid.Permutation([]int{0, 0, 1, 2, 3}).Draw(t, "delivery") {
		if n != f.at {
			f.nodes[n].Merge(incident, f.now)
		}
	}
	for _, r := range f.innocents {
		if r.running && r.node == f.at {
			r.running, r.crashed = false, f.now
			f.late = append(f.late, *r)
		}
	}
	f.at = -1
	assert.Assert(t, f.harmed <= 2, "%d servers harmed", f.harmed)
}

// reportLate has an innocent notice an earlier crash after the server runs
// again.
func (f *fleet) reportLate(t *rapid.T) {
	if len(f.late) == 0 {
		return
	}
	r := f.late[0]
	f.late = f.late[1:]
	_, ok := f.nodes[r.node].Crash(fmt.Sprint(r.node), r.Start, f.now)
	assert.Assert(t, !ok, "one crash reported twice")
}

func (f *fleet) arrive(t *rapid.T) {
	f.next++
	// A popular request has the same content as others.
	p := rapid.SampledFrom([]Fingerprint{f.next, 1 << 33}).Draw(t, "print")
	f.begin(t, &innocent{Start: Start{Fingerprint: p}})
}

func (f *fleet) begin(t *rapid.T, r *innocent) {
	r.node = rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")
	s, ok := f.nodes[r.node].Begin(r.Fingerprint, f.now)
	assert.Assert(t, s.Verdict != Refuse, "innocent refused")
	if r.Start = s; ok {
		r.running = true
	}
	if !slices.Contains(f.innocents, r) {
		f.innocents = append(f.innocents, r)
	}
}

func (f *fleet) resend(t *rapid.T) {
	for _, r := range f.innocents {
		if !r.running {
			f.begin(t, r)
			return
		}
	}
}

func (f *fleet) finish(t *rapid.T) {
	if len(f.innocents) > 0 {
		f.end(rapid.SampledFrom(f.innocents).Draw(t, "finished"))
	}
}

func (f *fleet) end(r *innocent) {
	if !r.running {
		return
	}
	if release, ok := f.nodes[r.node].End(r.Start, true, f.now); ok {
		for n := range f.nodes {
			f.nodes[n].Release(release, f.now)
		}
	}
	f.innocents = slices.DeleteFunc(f.innocents, func(o *innocent) bool { return o == r })
}

// pass lets time go by; innocents are sent again before their suspicion ends.
func (f *fleet) pass(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
	if !slices.ContainsFunc(f.innocents, func(r *innocent) bool { return f.now.Sub(r.crashed) > Suspicion-10*time.Second && !r.crashed.IsZero() }) {
		return
	}
	f.crash(t)
	for _, r := range slices.Clone(f.innocents) {
		f.end(r)
	}
	for _, r := range slices.Clone(f.innocents) {
		f.begin(t, r)
		f.end(r)
	}
}

// Guards against a request that crashes more than two servers (F6), and
// against innocents in flight at a crash that are refused.
func TestKillerHarmsAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{now: start, at: -1}
		t.Repeat(map[string]func(*rapid.T){
			"killer": f.sendKiller, "crash": f.crash, "arrive": f.arrive, "arrive again": f.arrive,
			"resend": f.resend, "finish": f.finish, "pass": f.pass, "late": f.reportLate,
		})
	})
}

// Guards against nodes that disagree because messages come late, twice or in
// another order.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prints := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID)
		var merges []func(*Table)
		for i := range rapid.IntRange(1, 6).Draw(t, "messages") {
			age := time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second
			incident := Incident{ID: uint64(i + 1), Age: age}
			for _, p := range prints.Draw(t, "prints") {
				incident.Fingerprints = append(incident.Fingerprints, Fingerprint(p))
			}
			if rapid.Bool().Draw(t, "lone") {
				incident.SoleSuspect = incident.Fingerprints[0]
			}
			release := Release{Fingerprint: incident.Fingerprints[0], Age: age}
			merges = append(merges, rapid.SampledFrom([]func(*Table){
				func(t *Table) { t.Merge(incident, start) }, func(t *Table) { t.Release(release, start) },
			}).Draw(t, "kind"))
		}
		var a, b Table
		for _, m := range merges {
			m(&a)
		}
		for _, m := range rapid.Permutation(append(merges, merges...)).Draw(t, "order") {
			m(&b)
		}
		for p := range Fingerprint(5) {
			for _, passed := range []time.Duration{0, Suspicion, Quarantine, Quarantine + headStart} {
				assert.Equal(t, a.Check(p, start.Add(passed)), b.Check(p, start.Add(passed)), "%d after %v", p, passed)
			}
		}
	})
}
