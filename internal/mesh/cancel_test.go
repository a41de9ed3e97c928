package mesh

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against sending a canceled request to the server, and against marking the
// server down because of it.
func TestCanceledRequestDoesNotReachTheServer(t *testing.T) {
	for name, served := range map[string]int32{"no connection": 0, "idle connection": 1} {
		t.Run(name, func(t *testing.T) {
			var arrived atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			t.Cleanup(server.Close)
			p := newServerProxy(4)
			p.Server = server.Listener.Addr().String()
			r := call.Request{
				ID: "a", Service: "s", Route: "r", Method: http.MethodGet, URI: "/x", Host: "h", Idempotent: true,
				Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
			}
			for range served {
				assert.Assert(t, p.serve(t.Context(), r, 0).err == nil)
			}
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			result := p.serve(ctx, r, 0)
			server.Close() // waits for requests that have arrived
			assert.Equal(t, result.err.Kind, fault.KindDeadline)
			assert.Equal(t, result.err.Outcome, fault.Refused)
			assert.Equal(t, arrived.Load(), served)
			assert.Assert(t, !p.load().Draining)
		})
	}
}
