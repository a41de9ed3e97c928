package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func regionsOf(n int) *Roster {
	var r Roster
	for i := range n {
		r.Merge(Entry{Node: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i), Region: fmt.Sprint("r", i%3), Domain: "d", Service: "s", Start: 1}, time.Unix(1000, 0))
	}
	return &r
}

// Guards against all nodes watching the registry, against regions without a relay,
// and against nodes that compute different relays.
func TestRelays(t *testing.T) {
	all := func(Entry) bool { return true }
	for name, c := range map[string]struct{ nodes, want int }{
		"few nodes all watch": {24, 0},
		"grown deployment":    {85, 9},
		"target":              {710, 24},
	} {
		t.Run(name, func(t *testing.T) {
			r := regionsOf(c.nodes)
			got := r.Relays("r1", all)
			assert.Equal(t, len(got), c.want)
			seen := make(map[string]bool)
			for i, e := range got {
				assert.Equal(t, e.Region == "r1", i < c.want/3, "place %d", i)
				seen[e.Node] = true
			}
			for _, e := range r.Relays("r2", all) {
				assert.Assert(t, seen[e.Node], "regions disagree on %s", e.Node)
			}
		})
	}
}

// Guards against relays on hosts that need seconds for a long configuration while others of
// the region need a tenth of that.
func TestFastHostsRelay(t *testing.T) {
	for name, c := range map[string]struct {
		relaying map[int]time.Duration
		want     map[string]bool
	}{
		"three fast hosts":   {map[int]time.Duration{27: 1, 45: 1, 60: 1}, map[string]bool{"n27": true, "n45": true, "n60": true}},
		"order by time":      {map[int]time.Duration{27: 3, 45: 1, 60: 2, 63: 4}, map[string]bool{"n45": true, "n60": true, "n27": true}},
		"unknown comes last": {map[int]time.Duration{27: time.Hour, 45: time.Hour, 60: time.Hour}, map[string]bool{"n27": true, "n45": true, "n60": true}},
	} {
		t.Run(name, func(t *testing.T) {
			r := regionsOf(85)
			for i, d := range c.relaying {
				e, _ := r.Get(fmt.Sprint("n", i))
				e.Relaying, e.Change = d, e.Change+1
				assert.Assert(t, r.Merge(e, time.Unix(1001, 0)))
			}
			got := make(map[string]bool)
			for _, e := range r.RelaysOf("r0", func(Entry) bool { return true }) {
				got[e.Node] = true
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a lost relay that changes all others, so that every node would call
// the registry again.
func TestLostRelayIsReplacedAlone(t *testing.T) {
	r := regionsOf(85)
	before := r.Relays("r0", func(Entry) bool { return true })
	after := r.Relays("r0", func(e Entry) bool { return e.Node != before[1].Node })
	assert.Equal(t, after[0].Node, before[0].Node)
	assert.Equal(t, after[1].Node, before[2].Node)
	assert.Equal(t, len(after), len(before))
}
