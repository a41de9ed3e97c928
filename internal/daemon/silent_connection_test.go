package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/internal/standin/server"
)

// Guards against requests that wait until their deadline on connections to the server
// that have become silent, while new connections work.
func TestSilentConnectionToTheServer(t *testing.T) {
	c := startCluster(t, 1)
	addr := freeTCP(t)
	path := &relay.Relay{Target: addr}
	assert.NilError(t, path.StartTCP("127.0.0.1:0"))
	t.Cleanup(path.Close)
	c.servers[0].Kill()
	s := &server.Server{Service: "stock", Slots: 12, Announce: c.nodes[0].AnnounceAddr(), Advertise: path.TCPAddr()}
	assert.NilError(t, s.Start(addr))
	t.Cleanup(s.Kill)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.nodes[0].local.get().Addr != path.TCPAddr() {
			return poll.Continue("server not announced")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))

	assert.Equal(t, c.get(t, 0, "before"), http.StatusOK)
	idle := time.Now()
	path.SetMode(relay.Silent)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if time.Since(idle) < suspectIdle {
			return poll.Continue("the connection was not idle long enough")
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond))
	response, _, err := c.call(context.Background(), 0, http.MethodGet, "/stock/item", http.Header{"Request-Id": {"after"}}, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, path.Dropped() > 0, "nothing was silenced")
}

// Guards against a slow request that is broken off and begun again because its
// connection is taken for silent.
func TestSlowRequestIsNotBrokenOff(t *testing.T) {
	c := startCluster(t, 1)
	assert.Equal(t, c.get(t, 0, "before"), http.StatusOK)
	answered := make(chan error, 1)
	go func() {
		_, _, err := c.call(context.Background(), 0, http.MethodGet, "/stock/item?delay=1500", nil, nil)
		answered <- err
	}()
	slow := func() (runs []server.Run) {
		for _, run := range c.servers[0].Journal.Runs() {
			if run.URI == "/stock/item?delay=1500" {
				runs = append(runs, run)
			}
		}
		return runs
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(slow()) == 0 {
			return poll.Continue("not running")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, c.get(t, 0, "beside"), http.StatusOK)
	assert.NilError(t, <-answered)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if run := slow()[0]; !run.Ended && !run.Canceled {
			return poll.Continue("still running")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, len(slow()), 2, "the request was not sent on a second connection")
	assert.Assert(t, !slow()[0].Canceled, "the first send was broken off")
}

// freeTCP returns a loopback address without a listener.
func freeTCP(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}
