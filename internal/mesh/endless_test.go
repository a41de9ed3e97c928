package mesh

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/endless"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// Guards against a server that sends bytes without end which are no answer, and keeps its
// standing, a slot or the requests of other callers.
func TestEndlessAnswersCountAgainstTheServer(t *testing.T) {
	for name, drip := range map[string]time.Duration{"fast": 0, "drips": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := &endless.Server{
				First: "HTTP/1.1 200 OK\r\nX: ", Text: "x", Drip: drip,
				Path: "/endless", Answer: "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n",
			}
			addr, err := server.Start()
			assert.NilError(t, err)
			t.Cleanup(server.Stop)
			p := newServerProxy(2)
			p.crash.Options, p.pool.HeaderNames = p.Options, backend.HeaderNames{ID: "Id"}
			p.crash.notify = func(quarantine.Incident) {}
			p.Server = addr
			r := call.Request{
				ID: "a", Service: "s", Route: "r", Method: http.MethodPost, URI: "/endless", Host: "h",
				Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
			}
			results := make(chan sendResult, 1)
			go func() { results <- p.serve(t.Context(), r, 0) }()
			other := r
			other.ID, other.URI = "b", "/"
			assert.Assert(t, p.serve(t.Context(), other, 0).err == nil)

			result := <-results
			assert.Equal(t, result.err.Kind, fault.KindCutShort)
			assert.Equal(t, result.err.Outcome, fault.Unknown)
			assert.Assert(t, result.ran)
			assert.Assert(t, time.Now().Before(r.Deadline))
			assert.Equal(t, p.load().InFlight, 0)
			assert.Assert(t, !p.load().Draining)
			assert.Assert(t, p.limiter.Health.FailureRate() > 0)
		})
	}
}
