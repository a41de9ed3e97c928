package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// Guards against a server that sends bytes without end which are no answer, and goes on
// getting requests, or makes callers wait up to their deadline or believe that their
// requests had not run.
func TestEndlessAnswersEjectTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		pause time.Duration
	}{
		"fast":  {strings.Repeat("x", 4096), 0},
		"drips": {"x", 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := startCluster(t, 3)
			cluster.servers[0].Kill()
			addr := startEndlessServer(t, c.text, c.pause)
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

// startEndlessServer answers each request with a header that does not end.
func startEndlessServer(t *testing.T, text string, pause time.Duration) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		_, err := c.Read(make([]byte, 4096))
		for part := "HTTP/1.1 200 OK\r\nX: "; err == nil; part = text {
			_, err = io.WriteString(c, part)
			time.Sleep(pause)
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return l.Addr().String()
}
