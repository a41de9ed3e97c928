package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a running server that ignores changed limits, so that valid
// requests are refused or slow ones hold connections forever.
func TestLimitsChangeWhileServing(t *testing.T) {
	header := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", n) + "\r\n\r\n"
	}
	body := func(n int) string {
		return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + "20000000"[:n] + "\r\n\r\n"
	}
	for name, c := range map[string]struct {
		limits  Limits
		request string
		status  int
	}{
		"header under the limit":      {Limits{Header: 200_000}, header(100_000), http.StatusOK},
		"header over the limit":       {Limits{Header: 2000}, header(3000), http.StatusRequestHeaderFieldsTooLarge},
		"body under the limit":        {Limits{Body: 20_000_000}, body(8) + strings.Repeat("x", 20_000_000), http.StatusOK},
		"body over the limit":         {Limits{Body: 1000}, body(4), http.StatusRequestEntityTooLarge},
		"chunked body over the limit": {Limits{Body: 1}, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"limits of zero are defaults": {Limits{}, header(10_000), http.StatusOK},
		"incomplete header":           {Limits{HeadTimeout: 50 * time.Millisecond}, "GET / HTTP/1.1\r\nHost: a\r\n", http.StatusRequestTimeout},
		"limit above the maximum":     {Limits{Body: 2 * maxBodyLimit}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000000\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, echo)
			s.SetLimits(c.limits)
			conn, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer conn.Close()
			go func() { _, _ = io.WriteString(conn, c.request) }()
			go tick(t, s)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}

// Guards against connections that stay open after the idle time-out was reduced.
func TestIdleLimitChanges(t *testing.T) {
	s := serve(t, echo)
	s.SetLimits(Limits{IdleTimeout: 50 * time.Millisecond})
	c := get(t, s)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if open, _ := s.Conns(); open > 0 {
			return poll.Continue("%d connections", open)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(5*time.Millisecond))
}

// tick calls Tick periodically until the test ends.
func tick(t *testing.T, s *Server) {
	for t.Context().Err() == nil {
		s.Tick()
		time.Sleep(10 * time.Millisecond)
	}
}
