package http1

import (
	"context"
	"io"
	"net"
	"net/http"
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
		"idle in a body": {
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\npart", func(*Server, net.Conn) {},
			Cut{Reason: endIdle, Partial: true},
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
			s := &Server{Limits: Limits{IdleTimeout: 50 * time.Millisecond}, Cut: func(c Cut) { cuts <- c }}
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
			assert.DeepEqual(t, <-cuts, c.want)
		})
	}
}
