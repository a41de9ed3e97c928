package daemon

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a request that has crashed two servers and crashes further ones, because
// the nodes beside them were restarted since and have forgotten it.
func TestCrashesAreKnownAfterRestart(t *testing.T) {
	const refused = "refused " + string(fault.KindQuarantined)
	for name, steps := range map[string][][]int{
		"one after the other": {{0}, {1}, {2}, {3}},
		"whole fleet":         {{0, 1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 4)
			crashes := func() (n int) {
				for _, s := range c.servers {
					n += s.FaultCount("crash")
				}
				return n
			}
			var outcomes []string
			for i := range 12 {
				outcomes = append(outcomes, c.outcome(t, i%4, http.MethodGet, "/stock/kill?crash=1"))
			}
			assert.Equal(t, outcomes[len(outcomes)-1], refused, "%v", outcomes)
			before := crashes()
			for _, nodes := range steps {
				c.restart(t, nodes...)
				for _, i := range nodes {
					c.awaitAnswer(t, i, "/stock/item")
				}
				for i := range c.nodes {
					outcome := c.outcome(t, i, http.MethodGet, "/stock/kill?crash=1")
					assert.Assert(t, strings.HasPrefix(outcome, "refused"), outcome)
				}
			}
			// A link to a node that was just restarted may still have to be replaced.
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if outcome := c.outcome(t, 0, http.MethodGet, "/stock/kill?crash=1"); outcome != refused {
					return poll.Continue("%s", outcome)
				}
				return poll.Success()
			})
			assert.Equal(t, crashes(), before)
		})
	}
}
