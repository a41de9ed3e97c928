package backend

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against bytes that end a header line or the request line early, wherever they come
// from: what follows would reach the server as another header or request.
func TestControlCharactersAreNotSent(t *testing.T) {
	const evil = "x\r\nEvil: 1"
	for name, c := range map[string]struct {
		change func(r *call.Request)
		// client is set for values that Client sends as they are, too.
		client bool
	}{
		"method":       {func(r *call.Request) { r.Method = "GET / HTTP/1.1\r\nEvil: 1\r\nX:" }, true},
		"target":       {func(r *call.Request) { r.URI = "/ HTTP/1.1\r\nEvil: 1\r\nX:" }, true},
		"space":        {func(r *call.Request) { r.URI = "/a HTTP/1.0" }, false},
		"host":         {func(r *call.Request) { r.Host = evil }, false},
		"id":           {func(r *call.Request) { r.ID = evil }, true},
		"server":       {func(r *call.Request) { r.Target = evil }, false},
		"line feed":    {func(r *call.Request) { r.Target = "x\nEvil: 1" }, false},
		"zero":         {func(r *call.Request) { r.Target = "x\x00" }, false},
		"service":      {func(r *call.Request) { r.Origin = evil }, false},
		"header value": {func(r *call.Request) { r.Header = http.Header{"A": {evil}} }, true},
		"header name":  {func(r *call.Request) { r.Header = http.Header{"A: 1\r\nEvil": {"1"}} }, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			var received atomic.Int64
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					_ = conn.SetReadDeadline(time.Now().Add(time.Second))
					n, _ := conn.Read(make([]byte, 4096))
					received.Add(int64(n))
					_ = conn.Close()
				}
			}()
			r := call.Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Deadline: time.Now().Add(5 * time.Second)}
			c.change(&r)
			names := HeaderNames{ID: "Id", Target: "Target", Origin: "Origin"}
			if c.client {
				var client Client
				_, err = client.Do(t.Context(), l.Addr().String(), r)
				assert.Assert(t, err != nil)
				assert.Equal(t, fault.As(err).Outcome, fault.Refused, "%v", err)
			}
			p := &Pool{HeaderNames: names}
			defer p.Close()
			_, err = p.Do(t.Context(), l.Addr().String(), r)
			assert.Assert(t, err != nil)
			assert.Equal(t, fault.As(err).Outcome, fault.Refused, "%v", err)
			assert.Equal(t, received.Load(), int64(0))
		})
	}
}
