package store

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/endless"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against a store that sends bytes without end which are no reply, and holds the
// node up, fills its memory or makes a write of unknown effect look undone.
func TestEndlessRepliesAreBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxSent is what fits into the limit of a header and the socket buffers.
	const maxSent = 1 << 20
	for name, text := range map[string][2]string{
		"status line":      {"HTTP/1.1 200 ", "x"},
		"header line":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers":  {"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
		"chunk extension":  {chunked + "1;", "x"},
		"digits of a size": {chunked, "0"},
		"trailer lines":    {chunked + "0\r\n", "X: x\r\n"},
	} {
		for speed, drip := range map[string]time.Duration{"fast": 0, "drip": 5 * time.Millisecond} {
			for method, kind := range map[string]fault.Kind{http.MethodGet: fault.KindStoreDown, http.MethodPut: fault.KindWriteUnknown} {
				t.Run(name+"/"+speed+"/"+method, func(t *testing.T) {
					t.Parallel()
					server := &endless.Server{First: text[0], Text: text[1], Drip: drip}
					addr, err := server.Start()
					assert.NilError(t, err)
					t.Cleanup(server.Stop)
					e := Endpoint{Base: "http://" + addr, Timeout: 2 * time.Second}
					_, err = e.Do(t.Context(), Request{Method: method, Path: "/object/x"})
					// A status of a write is sufficient, even if the body is cut short.
					if !strings.Contains(text[0], "\r\n\r\n") || method == http.MethodGet {
						assert.Assert(t, fault.Is(err, kind), "%v", err)
					}
					<-server.Closed()
					assert.Assert(t, server.Sent() < maxSent, "%d bytes were sent", server.Sent())
				})
			}
		}
	}
}
