package mesh

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against two nodes that start together and never learn of each other, and
// against n² messages when all start.
func TestNodesThatFindThisOneAreNotTold(t *testing.T) {
	for name, c := range map[string]struct {
		first, position, change uint64
		want                    bool
	}{
		"wrote after this node":                    {5, 6, 1, true},
		"wrote before this node":                   {5, 4, 1, false},
		"wrote again, so read the list earlier":    {5, 6, 2, false},
		"position of this node not known":          {0, 6, 1, false},
		"entry of an earlier life, written before": {5, 3, 7, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := &announcer{first: c.first}
			m := Member{Entry: roster.Entry{Node: "n1", Change: c.change}, Position: c.position}
			assert.Equal(t, a.aware([]Member{m})["n1"], c.want)
		})
	}
}
