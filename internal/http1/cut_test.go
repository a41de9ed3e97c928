package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections that end in the middle of a request without a trace.
func TestCutConnectionsAreReported(t *testing.T) {
	for name, c := range map[string]struct {
		input string
		end   func(s *Server, caller net.Conn)
		want  Cut
	}{
		"silent in a body": {
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\npart", tickUntilClosed,
			Cut{Reason: endAnswered, Partial: true},
		},
		"left in a header": {
			"GET / HTTP/1.1\r\nHost", func(_ *Server, caller net.Conn) { _ = caller.Close() },
			Cut{Partial: true},
		},
		"stopped with a request": {
			"GET / HTTP/1.1\r\nHost: a\r\n\r\n", func(s *Server, _ net.Conn) { s.Close() },
			Cut{Reason: endStop, Requests: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			cuts, begun := make(chan Cut, 1), make(chan struct{})
			s := &Server{Limits: Limits{IdleTimeout: 50 * time.Millisecond, BodySpan: 100 * time.Millisecond}, Cut: func(c Cut) { cuts <- c }}
			s.Handler = func(ctx context.Context, _ *http.Request, _ []byte) *http.Response {
				close(begun)
				<-ctx.Done()
				return Text(http.StatusOK, "done")
			}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			defer s.Close()
			caller, err := net.Dial("tcp", s.Addr())
			assert.NilError(t, err)
			defer caller.Close()
			_, err = io.WriteString(caller, c.input)
			assert.NilError(t, err)
			if c.want.Requests > 0 {
				<-begun
			}
			c.end(s, caller)
			select {
			case cut := <-cuts:
				assert.DeepEqual(t, cut, c.want)
			case <-time.After(10 * time.Second):
				t.Fatal("no cut is reported")
			}
		})
	}
}

// tickUntilClosed ticks until the server has closed the connection.
func tickUntilClosed(s *Server, caller net.Conn) {
	var ticking sync.WaitGroup
	defer ticking.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ticking.Go(func() {
		for ctx.Err() == nil {
			s.Tick()
			time.Sleep(10 * time.Millisecond)
		}
	})
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, caller)
}
