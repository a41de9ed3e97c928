package http1

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"
)

// exchange is a request that was parsed and not yet answered.
type exchange struct {
	// parsed is the parser's request, which identifies the exchange. The parser reuses
	// it, so handlers get request, a copy.
	parsed, request *http.Request
	body            []byte
	// size is the number of bytes of the header and the body.
	size int
	// repeatable is set when the request may run beside others of its connection.
	repeatable bool
	// begun is set when the handler was called or is about to be.
	begun  bool
	cancel context.CancelFunc
	// answered receives the response of a handler that runs in its own goroutine; nil
	// for other handlers.
	answered chan *http.Response
}

// discard closes the response that nobody will read.
func (x *exchange) discard() { _ = (<-x.answered).Body.Close() }

type arrivalKey struct{}

// Arrival returns when the last byte of a request was read, from the context of its
// handler. A request behind others on its connection may begin much later.
func Arrival(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// beginWaiting begins the requests that may run beside the first one of a connection.
func (s *Server) beginWaiting(c *conn) {
	for _, x := range c.pipeline.startable() {
		go func() { x.answered <- s.run(c, x) }()
	}
}

// run calls the handler.
func (s *Server) run(c *conn, x *exchange) (response *http.Response) {
	defer c.framer.releaseMemory(len(x.body))
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if s.Panicked != nil {
			s.Panicked(cause, debug.Stack())
		}
		response = Text(http.StatusInternalServerError, "internal error")
	}()
	return s.Handler(x.request.Context(), x.request, x.body)
}

// serve answers one request. It is called in the order of parsing, and after the
// answer to the request before.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	_, _, _ = w.(http.Hijacker).Hijack()
	c := s.connOf(w)
	if c == nil {
		return
	}
	closed, _ := c.IsClosed()
	x, begin := c.pipeline.front(r, closed)
	if x == nil {
		return
	}
	defer x.cancel()
	var response *http.Response
	if begin {
		response = s.run(c, x)
	} else {
		response = <-x.answered
	}
	last := c.pipeline.isLast(s.isDraining() || endsWithConn(response, x.request))
	err := c.respond(response, x.request, last)
	if err != nil {
		_ = c.CloseWithError(err)
		c.pending.Add(-1)
		return
	}
	badInput := c.pipeline.remove()
	switch {
	case last && !c.pipeline.unanswered():
		c.end(endAnswered, nil)
	case last:
		c.linger(nil)
	case badInput != nil:
		s.reject(c, badInput)
	default:
		c.setIdle()
		s.beginWaiting(c)
	}
	c.pending.Add(-1)
}
