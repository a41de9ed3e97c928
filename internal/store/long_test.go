package store

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a long reply that never arrives over a narrow link, because the time-out
// holds for the whole body: a node without a configuration then never becomes ready.
func TestLongReplyOutlivesTimeout(t *testing.T) {
	const part = 64 << 10
	for name, c := range map[string]struct {
		parts int
		pause time.Duration
		kind  fault.Kind
	}{
		"1 MB at 1.2 MB/s":        {16, 50 * time.Millisecond, ""},
		"silent after the header": {1, 5 * time.Second, fault.KindStoreDown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(w).Flush()
				for range c.parts {
					select {
					case <-time.After(c.pause):
					case <-r.Context().Done():
						return
					}
					_, _ = w.Write(make([]byte, part))
					_ = http.NewResponseController(w).Flush()
				}
			}))
			t.Cleanup(server.Close)
			e := Endpoint{Base: server.URL, Timeout: 400 * time.Millisecond}
			reply, err := e.Do(t.Context(), Request{Method: http.MethodGet, Path: "/rows"})
			if c.kind != "" {
				assert.Assert(t, fault.Is(err, c.kind), "%v", err)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, len(reply.Body), c.parts*part)
		})
	}
}
