package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against two nodes that start at the same time and never learn of each other,
// and against n² messages when all nodes start.
func TestInformedNodesAreNotNotified(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		first            WriteResult
		position, change uint64
		clock            time.Duration
		want             bool
	}{
		"wrote after this node":                 {WriteResult{Position: 5}, 6, 1, 0, true},
		"wrote before this node":                {WriteResult{Position: 5}, 4, 1, 0, false},
		"wrote again, so read the list earlier": {WriteResult{Position: 5}, 6, 2, 0, false},
		"position of this node not known":       {WriteResult{}, 6, 1, 0, false},
		"entry of an earlier process":           {WriteResult{Position: 5}, 3, 7, 0, false},
		"wrote before, but pauses":              {WriteResult{5, 3000 * ms}, 4, 1, 2500 * ms, true},
		"wrote again while it pauses":           {WriteResult{5, 3000 * ms}, 6, 2, 2500 * ms, true},
		"its pause was over":                    {WriteResult{5, 3000 * ms}, 4, 1, 1900 * ms, false},
		"clock of this node not known":          {WriteResult{Position: 5}, 4, 1, 2500 * ms, false},
		"did not start with the whole system":   {WriteResult{5, 500 * ms}, 4, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := &announcer{first: c.first}
			m := Member{Entry: roster.Entry{Node: "n1", Change: c.change, Clock: c.clock}, Position: c.position}
			assert.Equal(t, a.informed([]Member{m})["n1"], c.want)
		})
	}
}
