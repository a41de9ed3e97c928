package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against nodes that go on with an old entry after they have compared theirs.
func TestLackingEntriesCompleteARegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var relay, other Roster
		for i := range 40 {
			e := entry(fmt.Sprint("n", i), 1, rapid.Uint64Range(1, 3).Draw(t, "change"))
			e.Region = fmt.Sprint("r", i%2)
			relay.Merge(e, time.Time{})
			if rapid.Bool().Draw(t, "known") {
				e.Change = rapid.Uint64Range(1, 3).Draw(t, "other change")
				other.Merge(e, time.Time{})
			}
		}
		for _, e := range relay.Lacking("r1", other.Marks("r1")) {
			assert.Equal(t, e.Region, "r1")
			other.Merge(e, time.Time{})
		}
		relay.Each(func(e Entry) {
			got, known := other.Get(e.Node)
			assert.Assert(t, e.Region != "r1" || known && !e.Newer(got))
		})
		for _, e := range relay.Lacking("r1", other.Marks("r1")) {
			got, _ := other.Get(e.Node)
			assert.Assert(t, got.Newer(e), "an entry is sent again")
		}
	})
}
