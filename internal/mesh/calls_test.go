package mesh

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
)

// Guards against servers that count as unhealthy because a call of theirs to another
// service fails: while that service is full, all servers that call it would be avoided.
func TestFailedCallsDoNotBlameTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		callFails, unhealthy bool
	}{
		"a call fails":     {true, false},
		"the server fails": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newServerProxy(4)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				run, ok := p.runs.Parent("a")
				assert.Check(t, ok && run.Priority == 2)
				if c.callFails {
					p.runs.Called("a", "t", nil, true)
				}
				w.WriteHeader(http.StatusInternalServerError)
			}))
			defer server.Close()
			p.Server = strings.TrimPrefix(server.URL, "http://")
			for range 20 {
				deadline := time.Now().Add(10 * time.Second)
				result := p.serve(t.Context(), call.Request{ID: "a", Method: http.MethodGet, URI: "/", Host: "h", Service: "s", Route: "r", Priority: 2, Deadline: deadline, Objective: deadline, Last: true}, 0)
				assert.Assert(t, result.err == nil, "%v", result.err)
				assert.Equal(t, result.calls.Failed, c.callFails)
				assert.Equal(t, result.calls.Calls["t"] == 1, c.callFails, "%v", result.calls.Calls)
			}
			assert.Equal(t, p.load().Unhealthy, c.unhealthy)
			_, running := p.runs.Parent("a")
			assert.Assert(t, !running)
		})
	}
}
