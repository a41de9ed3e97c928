package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a server that sends bytes without end which are no answer: the node
// would read megabytes, hold the caller up or close its connection without an answer.
func TestClientBoundsEndlessAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxSent is what fits into the limits and the socket buffers.
	const maxSent = 1 << 20
	for name, text := range map[string][2]string{
		"status line":      {"HTTP/1.1 200 ", "x"},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"chunk extension":  {chunked + "1;", "x"},
		"digits of a size": {chunked, "0"},
		"trailer line":     {chunked + "0\r\nX: ", "x"},
		"trailer lines":    {chunked + "0\r\n", "X: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			addr := startRawServer(t, func(c net.Conn) {
				_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
				_, err := io.WriteString(c, text[0])
				for part := strings.Repeat(text[1], 4096/len(text[1])); err == nil; sent.Add(int64(len(part))) {
					_, err = io.WriteString(c, part)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			var c Client
			_, err := c.Do(ctx, addr, request(http.MethodPost))
			assert.NilError(t, ctx.Err())
			assert.Assert(t, fault.Is(err, fault.KindCutShort) || fault.Is(err, fault.KindServerLost), "%v", err)
			assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
			assert.Assert(t, sent.Load() < maxSent, "%d bytes were sent", sent.Load())
		})
	}
}
