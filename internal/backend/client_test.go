package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
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

// Guards against a second copy of an answer that arrives late, on a connection that is
// in use again: the next caller would get it.
func TestSecondCopyReachesNoRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
	for name, c := range map[string]struct {
		// answers are the IDs of the answers to the second request.
		answers string
		ok      bool
	}{
		"late copy":           {"1 2", false},
		"own answer":          {"2", true},
		"of an inner request": {"inner", true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startRawServer(t, func(conn net.Conn) {
				_, _ = fmt.Fprintf(conn, answer, "1")
				_, _ = conn.Read(make([]byte, 4096))
				for id := range strings.FieldsSeq(c.answers) {
					_, _ = fmt.Fprintf(conn, answer, id)
				}
				_, _ = io.Copy(io.Discard, conn)
			})
			var client Client
			defer client.CloseIdle()
			first, err := client.Do(t.Context(), addr, request(http.MethodGet))
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, first.Body)
			assert.NilError(t, err)
			assert.NilError(t, first.Body.Close())
			second := request(http.MethodGet)
			second.ID = "2"
			got, err := client.Do(t.Context(), addr, second)
			if !c.ok {
				assert.Assert(t, fault.Is(err, fault.KindCutShort), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
				return
			}
			assert.NilError(t, err)
			assert.NilError(t, got.Body.Close())
		})
	}
}

// Guards against a list of IDs that grows without end or forgets the newest.
func TestSentIDs(t *testing.T) {
	var s sentIDs
	for i := range 3 * maxSentIDs {
		s.add(strconv.Itoa(i))
	}
	assert.Equal(t, len(s.ids), maxSentIDs)
	assert.Assert(t, s.contains(strconv.Itoa(3*maxSentIDs-1)) && s.contains(strconv.Itoa(2*maxSentIDs)))
	assert.Assert(t, !s.contains(strconv.Itoa(2*maxSentIDs-1)))
}
