package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/internal/standin/server"
)

const (
	// brokenUpload does not fit into the buffers of a connection to a server.
	brokenUpload = 6 << 20
	// brokenRuns is how often each request is repeated: the scheduler decides which call
	// gets the error of a reset connection.
	brokenRuns = 30
	brokenHead = "HTTP/1.1 200 OK\r\n" + call.HeaderID + ": " + broken.ID + "\r\n"
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
	const length = "Content-Length: 4\r\n\r\nbody"
	reset := func(size int) *broken.Server {
		return &broken.Server{Answer: brokenHead + "\r\n" + strings.Repeat("x", size), Early: true, End: broken.Reset}
	}
	for name, c := range map[string]struct {
		server *broken.Server
		size   int
	}{
		"reset, empty":     {reset(0), brokenUpload},
		"reset, part":      {reset(500), brokenUpload},
		"reset, long part": {reset(200_000), brokenUpload},
		"status 000":       {&broken.Server{Answer: strings.Replace(brokenHead, "200", "000", 1) + length, End: broken.Close}, 10},
		"status 099":       {&broken.Server{Answer: strings.Replace(brokenHead, "200", "099", 1) + length, End: broken.Close}, 10},
		"behind 000":       {&broken.Server{Answer: "HTTP/1.1 000 No\r\nContent-Length: 500\r\n\r\n" + brokenHead + length, End: broken.Close}, 10},
		"status 101":       {&broken.Server{Answer: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + brokenHead + length, End: broken.Close}, 10},
		"blank in a name":  {&broken.Server{Answer: brokenHead + "Bad Name: x\r\n" + length, End: broken.Close}, 10},
		"blank behind":     {&broken.Server{Answer: brokenHead + "Content-Length : 4\r\n\r\nbody and more", End: broken.Close}, 10},
		"zero byte":        {&broken.Server{Answer: brokenHead + "Ba\x00d: x\r\n" + length, End: broken.Close}, 10},
		"blank before":     {&broken.Server{Answer: brokenHead + " Content-Length: 4\r\n\r\nbody and more", End: broken.Close}, 10},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := c.server
			cluster := startBrokenCluster(t, s)
			arrived := 0
			for i := range 2 * brokenRuns {
				id := fmt.Sprintf("up-%d", i)
				response, body, err := cluster.call(t.Context(), i%2, http.MethodPost, "/stock/order", http.Header{"Request-Id": {id}}, strings.NewReader(strings.Repeat("u", c.size)))
				if s.Requests(id) == 0 {
					continue // the server is ejected
				}
				arrived++
				assert.Equal(t, s.Requests(id), 1)
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
	const (
		body   = "the whole body"
		length = "Content-Length: 14\r\n\r\n" + body
	)
	for name, c := range map[string]struct {
		server *broken.Server
		size   int
		status int
	}{
		"early 413, then close": {&broken.Server{Answer: strings.Replace(brokenHead, "200", "413", 1) + length, Early: true, End: broken.Close}, brokenUpload, 413},
		"early 413, then reset": {&broken.Server{Answer: strings.Replace(brokenHead, "200", "413", 1) + length, Early: true, End: broken.Reset}, brokenUpload, 413},
		"ended by a close":      {&broken.Server{Answer: brokenHead + "\r\n" + body, End: broken.Close}, brokenUpload, 200},
		"ended by a half-close": {&broken.Server{Answer: brokenHead + "\r\n" + body, Early: true, End: broken.HalfClose}, brokenUpload, 200},
		"unknown status":        {&broken.Server{Answer: strings.Replace(brokenHead, "200", "299", 1) + length}, 10, 299},
		"after interim answers": {&broken.Server{Answer: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + brokenHead + length}, 10, 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := c.server
			cluster := startBrokenCluster(t, s)
			for i := range 10 {
				id := fmt.Sprintf("up-%d", i)
				response, text, err := cluster.call(t.Context(), i%2, http.MethodPost, "/stock/order", http.Header{"Request-Id": {id}}, strings.NewReader(strings.Repeat("u", c.size)))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.status, "%s: %.200q", id, text)
				assert.Equal(t, text, body)
				assert.Equal(t, s.Requests(id), 1)
			}
		})
	}
}
