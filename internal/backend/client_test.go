package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

func request(method string) call.Request {
	return call.Request{
		ID: "1", Method: method, URI: "/stock/reserve", Key: "k1", Header: http.Header{"X-Idempotency-Key": {"k2"}},
		Deadline: time.Now().Add(10 * time.Second),
	}
}

// Guards against net/http resending a non-idempotent request when a reused
// connection breaks, which it does for requests with an idempotency key.
func TestPostIsNeverSentTwice(t *testing.T) {
	var received atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == 1 {
			return
		}
		if r.Header.Get("Idempotency-Key") != "k1" {
			t.Errorf("key %q", r.Header.Get("Idempotency-Key"))
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	var c Client
	first, err := c.Do(context.Background(), addr, request(http.MethodPost))
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, first.Body)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	_, err = c.Do(context.Background(), addr, request(http.MethodPost))
	assert.Assert(t, fault.Is(err, fault.KindServerLost), "%v", err)
	assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	assert.Equal(t, received.Load(), int32(2))
}

// Guards against the outcome refused for a request that may have run, and against
// the outcome unknown if nothing was sent.
func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	cases := map[string]struct {
		serve   http.HandlerFunc
		timeout time.Duration
		addr    string
		kind    fault.Kind
		outcome fault.Outcome
	}{
		"refuses connections": {addr: closed.Addr().String(), timeout: time.Minute, kind: fault.KindNoServer, outcome: fault.Refused},
		"too slow":            {serve: func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, timeout: 50 * time.Millisecond, kind: fault.KindDeadline, outcome: fault.Unknown},
		"closes":              {serve: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, timeout: time.Minute, kind: fault.KindServerLost, outcome: fault.Unknown},
		"not HTTP":            {serve: writeInvalidAnswer, timeout: time.Minute, kind: fault.KindCutShort, outcome: fault.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			addr := tc.addr
			if tc.serve != nil {
				server := httptest.NewServer(tc.serve)
				defer server.Close()
				addr = server.Listener.Addr().String()
			}
			ctx, cancel := context.WithTimeout(context.Background(), tc.timeout)
			defer cancel()
			var c Client
			_, err := c.Do(ctx, addr, request(http.MethodPost))
			f := fault.As(err)
			assert.Equal(t, f.Kind, tc.kind, f.Detail)
			assert.Equal(t, f.Outcome, tc.outcome)
		})
	}
}

func writeInvalidAnswer(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, strings.NewReader("not an answer\r\n\r\n"))
	_ = conn.Close()
}
