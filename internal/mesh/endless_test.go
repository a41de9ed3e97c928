package mesh

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// Guards against a server that sends bytes without end which are no answer, and keeps its
// standing, a slot or the requests of other callers.
func TestEndlessAnswersCountAgainstTheServer(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		pause time.Duration
	}{
		"fast":  {strings.Repeat("x", 4096), 0},
		"drips": {"x", 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startEndlessServer(t, "HTTP/1.1 200 OK\r\nX: ", c.text, c.pause)
			p := newServerProxy(2)
			p.crash.Options, p.pool.HeaderNames = p.Options, backend.HeaderNames{ID: "Id"}
			p.crash.notify = func(quarantine.Incident) {}
			p.Server = addr
			r := call.Request{
				ID: "a", Service: "s", Route: "r", Method: http.MethodPost, URI: "/endless", Host: "h",
				Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute),
			}
			endless := make(chan sendResult, 1)
			go func() { endless <- p.serve(t.Context(), r, 0) }()
			other := r
			other.ID, other.URI = "b", "/"
			assert.Assert(t, p.serve(t.Context(), other, 0).err == nil)

			result := <-endless
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

// startEndlessServer answers requests for /endless without end.
func startEndlessServer(t *testing.T, first, text string, pause time.Duration) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		request := make([]byte, 4096)
		n, err := c.Read(request)
		if !strings.HasPrefix(string(request[:n]), "POST /endless ") {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 0\r\n\r\n")
			return
		}
		for part := first; err == nil; part = text {
			_, err = io.WriteString(c, part)
			time.Sleep(pause)
		}
	}
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go serve(c)
		}
	}()
	return l.Addr().String()
}
