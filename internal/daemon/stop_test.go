package daemon

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
)

// Guards against a stopping node that ends a request of its server by refusing the
// calls which the server makes to answer it.
func TestServerMakesCallsDuringStop(t *testing.T) {
	const uri = "/stock/item?chain=1&delay=400"
	for name, send := range map[string]func(ctx context.Context, c *cluster) (int, error){
		"entry node": func(ctx context.Context, c *cluster) (int, error) {
			response, _, err := c.call(ctx, 0, http.MethodGet, uri, nil, nil)
			if err != nil {
				return 0, err
			}
			return response.StatusCode, nil
		},
		"far node": func(ctx context.Context, c *cluster) (int, error) {
			answer, err := c.nodes[1].transport.Call(ctx, peerOf(c.nodes[0].members.protocol.Local()), call.Request{
				ID: "1", Service: "stock", Method: http.MethodGet, URI: uri, Header: http.Header{}, Deadline: time.Now().Add(20 * time.Second),
			})
			if err != nil {
				return 0, err
			}
			defer answer.Body.Close()
			_, err = io.Copy(io.Discard, answer.Body)
			return answer.Status, err
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, 3)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			type result struct {
				status int
				err    error
			}
			done := make(chan result, 1)
			go func() {
				status, err := send(ctx, c)
				done <- result{status, err}
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.servers[0].Running() == 0 {
					return poll.Continue("not running")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			c.nodes[0].Stop(ctx)
			got := <-done
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
		})
	}
}
