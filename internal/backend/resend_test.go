package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/broken"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a request that runs twice because a connection which was used before ends
// without an answer. The method does not decide whether it may run again.
func TestUnansweredRequestIsNotSentAgain(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPost} {
		client, pool := Client{}, Pool{HeaderNames: testHeaderNames}
		t.Cleanup(client.CloseIdle)
		t.Cleanup(pool.Close)
		for name, do := range map[string]func(context.Context, string, call.Request) (*call.Answer, error){"client": client.Do, "pool": pool.Do} {
			t.Run(method+"/"+name, func(t *testing.T) {
				s := startBroken(t, &broken.Server{Answer: sealed + "Content-Length: 0\r\n\r\n", Limit: 1})
				r := call.Request{
					ID: "first", Method: method, URI: "/", Host: "h",
					Header: http.Header{"Id": {"first"}}, Deadline: time.Now().Add(10 * time.Second),
				}
				ctx, cancel := context.WithDeadline(t.Context(), r.Deadline)
				defer cancel()
				_, _, err := readAnswer(do(ctx, s.Addr(), r))
				assert.NilError(t, err)
				r.ID, r.Header = "second", http.Header{"Id": {"second"}}
				_, _, err = readAnswer(do(ctx, s.Addr(), r))
				assert.Equal(t, s.Requests("second"), 1)
				assert.Assert(t, fault.Is(err, fault.KindServerLost), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
			})
		}
	}
}

// Guards against a body that a request without one gets so that it is not sent again.
func TestRequestWithoutABodyHasNoLength(t *testing.T) {
	var client Client
	t.Cleanup(client.CloseIdle)
	arrived := make(chan *http.Request, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { arrived <- r }))
	t.Cleanup(s.Close)
	for method := range resentMethods {
		t.Run(method, func(t *testing.T) {
			_, _, err := readAnswer(client.Do(t.Context(), s.Listener.Addr().String(), call.Request{ID: "r", Method: method, URI: "/"}))
			assert.NilError(t, err)
			r := <-arrived
			assert.Equal(t, r.ContentLength, int64(0))
			assert.Equal(t, len(r.TransferEncoding), 0)
			assert.Equal(t, r.Header.Get("Content-Length"), "")
		})
	}
}
