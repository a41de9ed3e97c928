package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against nodes that go on with an old entry, or with one that is gone, after they
// have compared theirs, and against entries that are sent again at each comparison.
func TestComparedRegionsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var relay, other Roster
		for i := range 40 {
			e := entry(fmt.Sprint("n", i), 1, rapid.Uint64Range(1, 3).Draw(t, "change"))
			e.Region = fmt.Sprint("r", i%2)
			known := rapid.SampledFrom([]string{"relay", "other", "both"}).Draw(t, "known")
			if known != "other" {
				relay.Merge(e, time.Time{})
			}
			if known != "relay" {
				e.Change = rapid.Uint64Range(1, 3).Draw(t, "other change")
				other.Merge(e, time.Time{})
			}
		}
		lacking, unknown := relay.Compare("r1", other.Marks("r1"))
		suspects := make(map[string]bool)
		for _, e := range other.Marked("r1", unknown) {
			suspects[e.Node] = true
		}
		other.Each(func(e Entry) {
			_, known := relay.Get(e.Node)
			assert.Equal(t, suspects[e.Node], e.Region == "r1" && !known)
		})
		for _, e := range lacking {
			got, known := other.Get(e.Node)
			assert.Assert(t, e.Region == "r1" && (!known || e.Newer(got)), "an entry that the other node has")
			other.Merge(e, time.Time{})
		}
		relay.Each(func(e Entry) {
			got, known := other.Get(e.Node)
			assert.Assert(t, e.Region != "r1" || known && !e.Newer(got))
		})
	})
}
