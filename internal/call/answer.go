package call

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Load is the load of a backend server as known to the node beside it.
type Load struct {
	InFlight int `msgpack:"f"`
	Queued   int `msgpack:"q"`
	Slots    int `msgpack:"s"`
	// Latency is the smoothed run time of a request, without its wait in the queue.
	Latency time.Duration `msgpack:"l"`
	// Draining is set while the server takes no new requests: it is draining or
	// unreachable, its node is stopping, or its queue is paused.
	Draining bool `msgpack:"d,omitempty"`
	// Limit is the node's concurrency limit; zero means Slots.
	Limit int `msgpack:"m,omitempty"`
	// Slowdown is the factor by which requests take longer than usual; zero when
	// unknown.
	Slowdown float64 `msgpack:"p,omitempty"`
	// SlowFor is how long the server should be avoided because of a slow period.
	SlowFor time.Duration `msgpack:"e,omitempty"`
	// Backlog is how long a large answer of the server waits for the link of its host.
	Backlog time.Duration `msgpack:"b,omitempty"`
	// Wait is the expected wait for a slot.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Unhealthy is set when many of the server's requests fail.
	Unhealthy bool `msgpack:"a,omitempty"`
}

// Answer is the answer to one request. Body ends with io.EOF only if the
// complete answer was read; any other error means that it was cut short.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 when it is not known.
	Length int64
	// Buffered is the part of the body that was already read into memory. If it is
	// set, the body must be read with Open.
	Buffered []byte
	// Body is the rest of the body after Buffered, or nil if there is none.
	Body io.ReadCloser
	Load Load
	// Server is the ID of the node beside the backend server that answered.
	Server string
	// Allowance is the number of retries that remain for the whole chain of calls.
	Allowance int
	// Replayed is set for the stored answer to a resent idempotency key.
	Replayed bool
	Outcome  fault.Outcome
}

// Open returns the complete body, including Buffered, as a stream.
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

// Server answers requests. It is implemented by the parts of a node that pass a
// request on to other nodes or to a backend server.
type Server interface {
	Serve(ctx context.Context, r Request) (*Answer, error)
}

// hopByHop lists the hop-by-hop headers (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders deletes the hop-by-hop headers and those that are listed in
// the Connection header.
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
