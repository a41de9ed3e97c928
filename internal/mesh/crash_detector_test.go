package mesh

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// Guards against a request that is sent to another node before that node knows that the
// request crashed a server, and against a failure that is withheld until all nodes react.
func TestCrashIsReportedBeforeTheFailure(t *testing.T) {
	for name, c := range map[string]struct {
		requests int32
		silent   bool
	}{
		"one request": {1, false}, "several requests in flight": {3, false}, "a node does not react": {1, true},
	} {
		t.Run(name, func(t *testing.T) {
			var arrived, reported atomic.Int32
			var server *httptest.Server
			crash := make(chan struct{})
			server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if arrived.Add(1) == c.requests {
					_ = server.Listener.Close()
					close(crash)
				}
				<-crash
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			p := newServerProxy(4)
			p.Server = server.Listener.Addr().String()
			p.crash.Options = p.Options
			p.crash.notify = func(quarantine.Incident) {
				if c.silent {
					<-t.Context().Done()
				}
				time.Sleep(10 * time.Millisecond)
				reported.Add(1)
			}
			known := make(chan int32, c.requests)
			for i := range c.requests {
				r := call.Request{
					ID: strconv.Itoa(int(i)), Service: "s", Route: "r", Method: http.MethodPost, URI: "/" + strconv.Itoa(int(i)), Host: "h",
					Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
				}
				go func() {
					result := p.serve(t.Context(), r, 0)
					assert.Check(t, result.err != nil && result.ran)
					known <- reported.Load()
				}()
			}
			for range c.requests {
				assert.Equal(t, <-known == 0, c.silent)
			}
		})
	}
}
