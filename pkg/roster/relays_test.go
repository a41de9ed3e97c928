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
