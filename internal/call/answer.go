package call

import (
	"bytes"
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
	// Limit is the concurrency that the node allows; zero where Slots is meant.
	Limit int `msgpack:"m,omitempty"`
	// Slowdown is how long work takes as a multiple of the usual; zero when unknown.
	Slowdown float64 `msgpack:"p,omitempty"`
	// Wait is how long a request would wait for a slot.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Unhealthy is set when the server's answers fail often.
	Unhealthy bool `msgpack:"a,omitempty"`
}

// Answer is the answer to one request. Body ends with io.EOF only when the
// whole answer was read; any other error means that it was cut short.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// Buffered is the body, or its beginning when Body is set as well. Answers that
	// set Buffered are read with Open.
	Buffered []byte
	// Body is nil when Whole is all.
	Body io.ReadCloser
	Load Load
	// Server is the ID of the node beside the backend server that answered.
	Server string
	// Allowance is the number of retries that remain for the whole chain.
	Allowance int
	// Replayed marks a kept first answer to a resent key.
	Replayed bool
	Outcome  fault.Outcome
}

// Open returns the whole body as a stream.
func (a *Answer) Open() io.ReadCloser {
	switch {
	case a.Body == nil:
		return io.NopCloser(bytes.NewReader(a.Buffered))
	case len(a.Buffered) == 0:
		return a.Body
	default:
		return struct {
			io.Reader
			io.Closer
		}{io.MultiReader(bytes.NewReader(a.Buffered), a.Body), a.Body}
	}
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
