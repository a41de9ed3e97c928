package http1

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a busy loop on the closed listener while the last requests are
// in flight.
func TestDrainDoesNotSpin(t *testing.T) {
	release, entered := make(chan struct{}), make(chan struct{})
	s := &Server{Handler: func(context.Context, *http.Request, []byte) *http.Response {
		close(entered)
		<-release
		return Text(http.StatusOK, "done")
	}}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + s.Addr() + "/")
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-entered
	before := cpuTime(t)
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	assert.Equal(t, s.Drain(ctx, time.Millisecond), 0)
	used := cpuTime(t) - before
	assert.NilError(t, <-answered)
	// A busy loop uses all of the 400 ms, polling only a few percent.
	assert.Assert(t, used < 200*time.Millisecond, "the drain used %s of processor time", used)
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a drain that closes a connection while its caller is sending a
// request.
func TestDrainAwaitsArrivingRequests(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct{ first, rest, want string }{
		"header":           {"GET / HT", "TP/1.1\r\nHost: a\r\n\r\n", " close"},
		"body":             {post + "Content-Length: 4\r\n\r\nso", "me", "some close"},
		"body not begun":   {post + "Content-Length: 4\r\n\r\n", "some", "some close"},
		"chunk":            {post + "Transfer-Encoding: chunked\r\n\r\n4\r\nso", "me\r\n0\r\n\r\n", "some close"},
		"header time-out":  {"GET / HT", "", "408 close"},
		"behind an answer": {pipelinedText("a") + post + "Content-Length: 4\r\n\r\nso", "me", " some close"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, echo)
			conn := dial(t, s)
			_, err := io.WriteString(conn, c.first)
			assert.NilError(t, err)
			awaitPartial(t, s)
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			assert.Equal(t, s.Drain(ended, 0), 1)
			_, err = io.WriteString(conn, c.rest)
			assert.NilError(t, err)
			if c.rest == "" {
				s.SetLimits(Limits{HeadTimeout: time.Nanosecond})
				s.Tick()
			}
			assert.Equal(t, answers(conn), c.want)
			assert.Equal(t, s.Drain(t.Context(), 0), 0)
		})
	}
}

// awaitPartial waits until the only connection has no request in flight and has
// received a part of one.
func awaitPartial(t *testing.T, s *Server) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		all := s.snapshot()
		if len(all) != 1 {
			return poll.Continue("%d connections", len(all))
		}
		f := &all[0].framer
		f.mu.Lock()
		defer f.mu.Unlock()
		if all[0].pending.Load() > 0 || !f.inBody && len(f.head) == 0 {
			return poll.Continue("no part of a request, or one before it is in flight")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}
