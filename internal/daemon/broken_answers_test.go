package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/internal/standin/server"
	"github.com/vanillasail/vanillasail/pkg/config"
)

const (
	// brokenRuns is how often each request is repeated: the scheduler decides which call
	// gets the error of a reset connection.
	brokenRuns = 30
	// silentCalls is the number of concurrent requests at each node to a server that is
	// silent for a moment.
	silentCalls = 3
	brokenHead  = "HTTP/1.1 200 OK\r\n" + call.HeaderID + ": " + broken.ID + "\r\n"
)

// startBrokenCluster starts two nodes with one server for both, which is the stand-in.
func startBrokenCluster(t *testing.T, s *broken.Server) *cluster {
	t.Helper()
	c := startCluster(t, 2)
	for _, s := range c.servers {
		s.Kill()
	}
	s.Header = call.HeaderID
	assert.NilError(t, s.Start("127.0.0.1:0", t.Cleanup))
	announced := &server.Server{Service: "stock", Slots: 12, Announce: c.nodes[1].AnnounceAddr(), Advertise: s.Addr()}
	assert.NilError(t, announced.Start("127.0.0.1:0"))
	t.Cleanup(announced.Kill)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.nodes[1].local.get().Addr != s.Addr() || c.nodes[0].local.get().Addr != "" {
			return poll.Continue("the servers have not changed yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	c.awaitServers(t, 0, 1)
	c.awaitServers(t, 1, 1)
	return c
}

// Guards against broken answers of a server that reach callers as whole ones, orders that
// run a second time after one, and the promise that such an order has not run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, c := range broken.Broken(brokenHead) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := startBrokenCluster(t, c.Server)
			arrived := 0
			for i := range 2 * brokenRuns {
				id := fmt.Sprintf("up-%d", i)
				response, body, err := cluster.call(t.Context(), i%2, http.MethodPost, "/stock/order", http.Header{"Request-Id": {id}}, strings.NewReader(strings.Repeat("u", c.Size())))
				if c.Requests(id) == 0 {
					continue // the server is ejected
				}
				arrived++
				assert.Equal(t, c.Requests(id), 1)
				if err == nil {
					assert.Equal(t, response.StatusCode, http.StatusBadGateway, "%s: %.200q", id, body)
					assert.Equal(t, response.Header.Get(call.HeaderOutcome), "unknown")
				}
			}
			assert.Assert(t, arrived > 0)
		})
	}
}

// Guards against checks of answers that keep valid ones from callers.
func TestUnusualAnswersReachCallers(t *testing.T) {
	for name, c := range broken.Valid(brokenHead) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := startBrokenCluster(t, c.Server)
			for i := range 10 {
				id := fmt.Sprintf("up-%d", i)
				response, text, err := cluster.call(t.Context(), i%2, http.MethodPost, "/stock/order", http.Header{"Request-Id": {id}}, strings.NewReader(strings.Repeat("u", c.Size())))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.Status, "%s: %.200q", id, text)
				assert.Equal(t, text, broken.Body)
				assert.Equal(t, c.Requests(id), 1)
			}
		})
	}
}

// Guards against answers that are broken off because their server is silent for a moment.
func TestSilentServersAnswerCallers(t *testing.T) {
	for name, c := range broken.Silent(brokenHead) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := startBrokenCluster(t, c.Server)
			var calls sync.WaitGroup
			for i := range 2 * silentCalls {
				calls.Go(func() {
					id := fmt.Sprintf("up-%d", i)
					response, text, err := cluster.call(t.Context(), i%2, http.MethodPost, "/stock/order", http.Header{"Request-Id": {id}}, strings.NewReader("u"))
					if !assert.Check(t, err) {
						return
					}
					assert.Check(t, response.StatusCode == c.Status && strings.HasPrefix(text, broken.Body), "%s: %d %.200q", id, response.StatusCode, text)
					assert.Check(t, c.Requests(id) == 1)
				})
			}
			calls.Wait()
		})
	}
}

// Guards against requests that run twice because a connection to the server which was used
// before ends without an answer. A rule says that the requests must not run again.
func TestUnansweredRequestRunsOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodOptions, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			s := &broken.Server{Answer: brokenHead + "Content-Length: 0\r\n\r\n", Limit: 1}
			cluster := startBrokenCluster(t, s)
			rules := "services: {stock: {rules: {/stock/order: non-idempotent}}}"
			for _, n := range cluster.nodes {
				_, err := n.config.Apply(config.Record{Version: 1, Change: config.Change{Body: rules}})
				assert.NilError(t, err)
			}
			statuses := make(map[int]int)
			for i := range brokenRuns {
				id := fmt.Sprintf("once-%d", i)
				response, text, err := cluster.call(t.Context(), i%2, method, "/stock/order", http.Header{"Request-Id": {id}}, nil)
				assert.NilError(t, err)
				assert.Assert(t, s.Requests(id) <= 1, "%s ran %d times", id, s.Requests(id))
				statuses[response.StatusCode]++
				if s.Requests(id) == 1 && response.StatusCode != http.StatusOK {
					assert.Equal(t, response.Header.Get(call.HeaderOutcome), "unknown", text)
				}
			}
			assert.Assert(t, statuses[http.StatusOK] > 0 && statuses[http.StatusBadGateway] > 0, "%v", statuses)
		})
	}
}
