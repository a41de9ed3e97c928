package daemon

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/endless"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// Guards against a server that sends bytes without end which are no answer, and goes on
// getting requests, or makes callers wait up to their deadline or believe that their
// requests had not run.
func TestEndlessAnswersEjectTheServer(t *testing.T) {
	for name, drip := range map[string]time.Duration{"fast": 0, "drips": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, 3)
			cluster.servers[0].Kill()
			troubled := &endless.Server{First: "HTTP/1.1 200 OK\r\nX: ", Text: "x", Drip: drip}
			addr, err := troubled.Start()
			assert.NilError(t, err)
			t.Cleanup(troubled.Stop)
			s := &server.Server{Service: "stock", Slots: 12, Announce: cluster.nodes[0].AnnounceAddr(), Advertise: addr}
			assert.NilError(t, s.Start("127.0.0.1:0"))
			t.Cleanup(s.Kill)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if cluster.nodes[0].local.get().Addr != addr {
					return poll.Continue("server not announced")
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))

			cluster.awaitServers(t, 0, 3)

			ejected := func() bool { return cluster.nodes[0].routes.Snapshot("stock")[0].State == outlier.Ejected.String() }
			cut := 0
			for end := time.Now().Add(20 * time.Second); !ejected() && time.Now().Before(end); {
				if outcome := cluster.outcome(t, 0, http.MethodPost, "/stock/order"); outcome != "ran" {
					assert.Equal(t, outcome, "unknown cut-short")
					cut++
				}
			}
			assert.Assert(t, ejected(), "%d answers were cut", cut)
			assert.Assert(t, cut > 0)
			assert.Equal(t, cluster.outcome(t, 0, http.MethodPost, "/stock/order"), "ran")
			assert.Equal(t, cluster.nodes[0].serverProxy.load().InFlight, 0)
		})
	}
}
