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

const crasher Fingerprint = 1 << 32

// request is a harmless request, which never crashes a server.
type request struct {
	Start
	node    int
	running bool
	// crashed is the time of the crash at which it was in flight, or zero.
	crashed time.Time
}

// cluster models one crashing request that is sent repeatedly among harmless ones.
// Incidents and releases reach all nodes before a failure is reported.
type cluster struct {
	nodes        [4]Table
	now          time.Time
	harmless     []*request
	crasherStart Start
	crasherNode  int // node that runs the crashing request, or -1
	crashes      int
	next         Fingerprint
	// lateReports are harmless requests that have not yet noticed a crash.
	lateReports []request
}

func (c *cluster) sendCrasher(t *rapid.T) {
	if n := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node"); c.crasherNode < 0 {
		if s, ok := c.nodes[n].Begin(crasher, c.now); ok {
			c.crasherStart, c.crasherNode = s, n
		}
	}
}

func (c *cluster) crash(t *rapid.T) {
	if c.crasherNode < 0 {
		return
	}
	c.crashes++
	incident, ok := c.nodes[c.crasherNode].Crash(fmt.Sprint(c.crasherNode), c.crasherStart, c.now)
	assert.Assert(t, ok)
	for _, n := range rapid.Permutation([]int{0, 0, 1, 2, 3}).Draw(t, "delivery") {
		if n != c.crasherNode {
			c.nodes[n].Merge(incident, c.now)
		}
	}
	for _, r := range c.harmless {
		if r.running && r.node == c.crasherNode {
			r.running, r.crashed = false, c.now
			c.lateReports = append(c.lateReports, *r)
		}
	}
	c.crasherNode = -1
	assert.Assert(t, c.crashes <= 2, "%d servers crashed", c.crashes)
}

// reportLate lets a harmless request report an earlier crash after the server has
// restarted.
func (c *cluster) reportLate(t *rapid.T) {
	if len(c.lateReports) == 0 {
		return
	}
	r := c.lateReports[0]
	c.lateReports = c.lateReports[1:]
	_, ok := c.nodes[r.node].Crash(fmt.Sprint(r.node), r.Start, c.now)
	assert.Assert(t, !ok, "one crash reported twice")
}

func (c *cluster) arrive(t *rapid.T) {
	c.next++
	// Popular requests share one fingerprint.
	p := rapid.SampledFrom([]Fingerprint{c.next, 1 << 33}).Draw(t, "fingerprint")
	c.begin(t, &request{Start: Start{Fingerprint: p}})
}

func (c *cluster) begin(t *rapid.T, r *request) {
	r.node = rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
	s, ok := c.nodes[r.node].Begin(r.Fingerprint, c.now)
	assert.Assert(t, s.Verdict != Refuse, "harmless request refused")
	if r.Start = s; ok {
		r.running = true
	}
	if !slices.Contains(c.harmless, r) {
		c.harmless = append(c.harmless, r)
	}
}

func (c *cluster) resend(t *rapid.T) {
	for _, r := range c.harmless {
		if !r.running {
			c.begin(t, r)
			return
		}
	}
}

func (c *cluster) finish(t *rapid.T) {
	if len(c.harmless) > 0 {
		c.end(rapid.SampledFrom(c.harmless).Draw(t, "finished"))
	}
}

func (c *cluster) end(r *request) {
	if !r.running {
		return
	}
	if release, ok := c.nodes[r.node].End(r.Start, true, c.now); ok {
		for n := range c.nodes {
			c.nodes[n].Release(release, c.now)
		}
	}
	c.harmless = slices.DeleteFunc(c.harmless, func(o *request) bool { return o == r })
}

// advanceTime advances the clock. Harmless requests are sent again before their
// suspicion ends.
func (c *cluster) advanceTime(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
	if !slices.ContainsFunc(c.harmless, func(r *request) bool { return c.now.Sub(r.crashed) > Suspicion-10*time.Second && !r.crashed.IsZero() }) {
		return
	}
	c.crash(t)
	for _, r := range slices.Clone(c.harmless) {
		c.end(r)
	}
	for _, r := range slices.Clone(c.harmless) {
		c.begin(t, r)
		c.end(r)
	}
}

// Guards against a request that crashes more than two servers (F6), and against
// the refusal of harmless requests that were in flight at a crash.
func TestCrasherCrashesAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: start, crasherNode: -1}
		t.Repeat(map[string]func(*rapid.T){
			"crasher": c.sendCrasher, "crash": c.crash, "arrive": c.arrive, "arrive again": c.arrive,
			"resend": c.resend, "finish": c.finish, "advance time": c.advanceTime, "late report": c.reportLate,
		})
	})
}

// Guards against nodes that reach different verdicts because messages arrive late,
// twice or in another order.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fingerprints := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 4), 1, 3, rapid.ID)
		var merges []func(*Table)
		for i := range rapid.IntRange(1, 6).Draw(t, "messages") {
			age := time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * time.Second
			incident := Incident{ID: uint64(i + 1), Age: age}
			for _, p := range fingerprints.Draw(t, "fingerprints") {
				incident.Fingerprints = append(incident.Fingerprints, Fingerprint(p))
			}
			if rapid.Bool().Draw(t, "sole suspect") {
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
			for _, elapsed := range []time.Duration{0, Suspicion, Quarantine, Quarantine + remoteTrialDelay} {
				assert.Equal(t, a.Check(p, start.Add(elapsed)), b.Check(p, start.Add(elapsed)), "%d after %v", p, elapsed)
			}
		}
	})
}
