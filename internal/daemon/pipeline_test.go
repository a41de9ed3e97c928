package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against idempotent requests that wait for others on their connection, and
// against orders that run beside another request of their connection.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	for name, c := range map[string]struct {
		methods string
		// together is how many of the requests run at the same time.
		together int
	}{
		"idempotent": {"GET GET GET GET", 4},
		"with order": {"GET GET POST GET", 2},
		"order":      {"POST GET GET", 1},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, 2)
			var text strings.Builder
			methods := strings.Fields(c.methods)
			for i, method := range methods {
				fmt.Fprintf(&text, "%s /stock/x?delay=1000 HTTP/1.1\r\nHost: a\r\nRequest-Id: pipelined-%d\r\nContent-Length: 0\r\n\r\n", method, i)
			}
			conn, err := net.Dial("tcp", cluster.nodes[0].CallerAddr())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, text.String())
			assert.NilError(t, err)
			running := func() int { return cluster.servers[0].Running() + cluster.servers[1].Running() }
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if n := running(); n != c.together {
					return poll.Continue("%d requests run", n)
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
			reader := bufio.NewReader(conn)
			for i := range methods {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, response.Header.Get("Request-Id"), fmt.Sprintf("pipelined-%d", i))
			}
		})
	}
}
