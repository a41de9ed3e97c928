// Package caller serves callers over HTTP/1.1.
package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Observer is notified of every answered request. Some fields of a request that
// could not be parsed are empty.
type Observer interface {
	Answered(r call.Request, status int, err error, took time.Duration)
}

// Server is the HTTP/1.1 server of a node for callers.
type Server struct {
	http1.Server
	// Calls serves the parsed requests; it must not be nil.
	Calls call.Server
	// Rules must not be nil if Dialect is nil.
	Rules Rules
	// Dialect defines the headers of requests and answers; nil means those of
	// package call.
	Dialect Dialect
	// Observer may be nil.
	Observer Observer
	// Rejected is called for input that is not passed to Calls, with the request ID
	// if there is one; it may be nil.
	Rejected func(id string, f *fault.Error)
}

// Dialect defines the headers that callers send and receive.
type Dialect interface {
	// Parse converts an HTTP request. A request that is returned with an error is
	// used only for logging.
	Parse(r *http.Request, body []byte, now time.Time) (call.Request, error)
	// SetAnswerHeaders sets the headers of an answer.
	SetAnswerHeaders(h http.Header, r call.Request, a *call.Answer)
	// SetErrorHeaders sets the headers of an error response.
	SetErrorHeaders(h http.Header, id string, f *fault.Error)
}

// Listen binds the address and starts serving callers.
func (s *Server) Listen(addr string) error {
	s.Handler = s.handle
	if s.Dialect == nil {
		s.Dialect = nativeDialect{s.Rules}
		s.Repeatable = func(r *http.Request) bool { return idempotent(r, serviceOf(r), s.Rules) }
	}
	s.BadRequest = s.badRequest
	return s.Server.Listen(addr)
}

func (s *Server) badRequest(err error) *http.Response {
	f := classify(err)
	s.reject("", f)
	return s.errorResponse(f, "")
}

// classify returns the typed error for input that is not a valid request.
func classify(err error) *fault.Error {
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		return fault.New(fault.KindTooLarge, "the body is over the limit")
	case errors.Is(err, http1.ErrHeaderTooLarge):
		return fault.New(fault.KindHeaderTooLarge, "%v", err)
	case errors.Is(err, http1.ErrHeaderTooSlow):
		return fault.New(fault.KindHeaderTooSlow, "%v", err)
	case errors.Is(err, http1.ErrBodyTooSlow):
		return fault.New(fault.KindBodyTooSlow, "%v", err)
	case errors.Is(err, http1.ErrNoMemory):
		return fault.New(fault.KindOverloaded, "%v", err)
	default:
		return fault.New(fault.KindBadRequest, "malformed HTTP: %v", err)
	}
}

func (s *Server) reject(id string, f *fault.Error) {
	if s.Rejected != nil {
		s.Rejected(id, f)
	}
}

func (s *Server) handle(ctx context.Context, hr *http.Request, body []byte) *http.Response {
	start := http1.Arrival(ctx)
	r, err := s.Dialect.Parse(hr, body, start)
	r.Arrived = start
	if err != nil {
		f := fault.As(err)
		s.observe(r, f.Status, f, start)
		s.reject(r.ID, f)
		return s.errorResponse(f, r.ID)
	}
	cancel := context.CancelFunc(func() {})
	if !r.Deadline.IsZero() { // without a deadline, the route's time-out applies
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
	}
	answer, err := s.Calls.Serve(ctx, r)
	if err != nil {
		cancel()
		f := fault.As(err)
		s.observe(r, f.Status, f, start)
		return s.errorResponse(f, r.ID)
	}
	return s.respond(answer, r, start, cancel)
}

func (s *Server) respond(answer *call.Answer, r call.Request, start time.Time, cancel context.CancelFunc) *http.Response {
	header := answer.Header
	if header == nil {
		header = make(http.Header)
	}
	s.Dialect.SetAnswerHeaders(header, r, answer)
	return &http.Response{
		StatusCode:    answer.Status,
		Header:        header,
		ContentLength: contentLength(answer, r.Method),
		Body: &observedBody{ReadCloser: answer.Open(), done: func(err error) {
			cancel()
			s.observe(r, answer.Status, err, start)
		}},
	}
}

// contentLength returns the Content-Length of an answer. The answer to HEAD has
// the length that GET would have, and no body.
func contentLength(answer *call.Answer, method string) int64 {
	if method != http.MethodHead {
		return answer.Length
	}
	n, err := strconv.ParseInt(answer.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (s *Server) observe(r call.Request, status int, err error, start time.Time) {
	if s.Observer != nil {
		s.Observer.Answered(r, status, err, time.Since(start))
	}
}
