package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version that does not reach all members, spreads only along the
// ring, or is attributed to a member that does not have it.
func TestConfigVersionIsPiggybacked(t *testing.T) {
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
			assert.Equal(t, holder.Local().Config, uint64(42), "%s does not have the version", from)
			h.SetConfig(42) // as after a fetch from the holder
			holders++
		}
		return holders == len(n.hosts)
	})
	assert.Assert(t, ok, "not at all members after %v", took)
	t.Logf("at all members after %v", took)
}
