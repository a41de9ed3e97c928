package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version that is not heard, spreads only along the ring, or
// is credited to a member that does not hold it.
func TestConfigRidesOnMessages(t *testing.T) {
	n := cluster(seed(t), 100, 1)
	n.hosts[7].SetConfig(42)
	took, ok := n.until(time.Second, func() bool {
		holders := 0
		for _, h := range n.hosts {
			version, from := h.Config()
			if version != 42 {
				continue
			}
			holder := n.byID(from.ID)
			assert.Equal(t, holder.Own().Config, uint64(42), "%s does not hold the version", from)
			h.SetConfig(42) // as after a fetch from the holder
			holders++
		}
		return holders == len(n.hosts)
	})
	assert.Assert(t, ok, "not held everywhere after %v", took)
	t.Logf("held everywhere after %v", took)
}

// Guards against a version that some members learn only from the table: with
// the store down right after a change was accepted, it must be in force on all
// within 17 s, though a node looks for higher versions ten times a second only
// and fetches from the member that named it.
func TestAcceptedVersionReachesAllWithoutTheStore(t *testing.T) {
	const look, fetch = 100 * time.Millisecond, 50 * time.Millisecond
	for name, size := range map[string]int{"300 nodes": 300, "710 nodes": 710} {
		t.Run(name, func(t *testing.T) {
			n := cluster(seed(t), size, 2)
			n.hosts[7].SetConfig(42)
			since, arrives, holders := n.ms, make(map[*host]int), 1
			took, ok := n.until(17*time.Second, func() bool {
				for _, h := range n.hosts {
					version, from := h.Config()
					at := arrives[h]
					switch {
					case version != 42 || h.Own().Config == 42:
					case at == 0:
						assert.Equal(t, n.byID(from.ID).Own().Config, uint64(42), "%s does not hold the version", from)
						arrives[h] = n.ms + int((look + fetch).Milliseconds())
					case n.ms >= at:
						h.SetConfig(42)
						holders++
					}
				}
				return holders == size
			})
			assert.Assert(t, ok, "%d of %d hold the version after %v", holders, size, took)
			for _, h := range n.hosts {
				assert.Assert(t, h.sent.peak(since) <= 9000, "%s sent %d bytes in a second", h.Own().ID, h.sent.peak(since))
			}
			t.Logf("in force everywhere after %v", took)
		})
	}
}
