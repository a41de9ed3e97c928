package member_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// propagationLimit is the time within which a version must be in force at all of
	// 710 nodes.
	propagationLimit = 17 * time.Second
	// followEvery is how often a node checks for a newer version while the table
	// service is down, in ms.
	followEvery = 100
	// fetchTime is the duration of a handshake, a request and its response across
	// regions, and fetchTimeout the time limit of a fetch, in ms.
	fetchTime    = 50
	fetchTimeout = 1000
)

// follower fetches newer versions as a node does: one at a time, from the member that
// Config returned.
type follower struct {
	*host
	// next is the time of the next check, in ms.
	next int
	// fetched is the version that the current fetch returns, or zero.
	fetched uint64
}

func (f *follower) tick(n *network) {
	if f.frozen || n.ms < f.next {
		return
	}
	f.next = n.ms + followEvery
	if f.fetched != 0 {
		f.SetConfig(f.fetched)
		f.fetched = 0
	}
	if version, from := f.Config(); version > f.Local().Config {
		f.fetch(n, version, n.byID(from.ID))
	}
}

func (f *follower) fetch(n *network, version uint64, holder *host) {
	if holder.frozen || n.cut(f.host, holder) || n.random.Float64() < n.loss {
		f.next = n.ms + fetchTimeout
		return
	}
	if holder.Local().Config < version {
		panic(fmt.Sprintf("%s does not have version %d", holder.addr, version))
	}
	f.next, f.fetched = n.ms+fetchTime, version
}

// TestConfigPropagationTime guards against a version that reaches some nodes
// late or never when the table service that accepted it fails at the same moment.
func TestConfigPropagationTime(t *testing.T) {
	cases := map[string]struct {
		loss   float64
		frozen bool
		cut    bool
		// stops makes the node that has accepted the version stop when others know of it
		// and one other has it.
		stops bool
	}{
		"store down": {},
		"store down, a tenth of the packets lost":  {loss: 0.1},
		"store down, a region cut off for 5 s":     {cut: true},
		"store down, a tenth of the nodes stopped": {frozen: true},
		"store down, the node that has it stops":   {stops: true},
	}
	for name, tc := range cases {
		for _, size := range []int{100, target} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				t.Parallel()
				n := cluster(seed(t), size, 2)
				n.loss = tc.loss
				followers := make([]follower, len(n.hosts))
				for i, h := range n.hosts {
					followers[i] = follower{host: h}
					h.frozen = tc.frozen && i%10 == 5
				}
				n.hosts[7].SetConfig(42)
				since := n.ms
				healed := n.ms + 5000
				if tc.cut {
					n.cut = func(a, b *host) bool { return a.region != b.region && n.ms < healed }
				}
				if tc.stops {
					n.run(200 * time.Millisecond)
					n.hosts[7].frozen = true
					n.hosts[8].SetConfig(42)
				}
				took, ok := n.until(propagationLimit, func() bool {
					holding := true
					for i := range followers {
						followers[i].tick(n)
						holding = holding && (followers[i].frozen || followers[i].Local().Config == 42)
					}
					return holding
				})
				assert.Assert(t, ok, "not in force at all nodes after %v", took)
				for _, h := range n.hosts {
					assert.Assert(t, h.sent.peak(since) <= 9000, "%s sent %d bytes in a second", h.Local().ID, h.sent.peak(since))
				}
				t.Logf("in force at all nodes after %v", took)
			})
		}
	}
}
