package call

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Load is what the node beside a backend server knows about it.
type Load struct {
	InFlight int           `msgpack:"f"`
	Queued   int           `msgpack:"q"`
	Slots    int           `msgpack:"s"`
	Latency  time.Duration `msgpack:"l"`
	Draining bool          `msgpack:"d,omitempty"`
}

// Answer is the answer to one request. Body ends with io.EOF only when the
// whole answer was read; any other error means that it was cut short.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	Body   io.ReadCloser
	Load   Load
	// Server is the ID of the node beside the backend server that answered.
	Server string
	// Allowance is the number of retries that remain for the whole chain.
	Allowance int
	// Replayed marks a kept first answer to a resent key.
	Replayed bool
	Outcome  fault.Outcome
}

// Server answers requests: a backend server, a node, or a chain of both.
type Server interface {
	Serve(ctx context.Context, r Request) (*Answer, error)
}

// hopByHop lists headers that concern one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the headers that concern one connection only.
func RemoveHopHeaders(h http.Header) {
	for _, f := range h["Connection"] {
		for name := range splitList(f) {
			h.Del(name)
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
