// Package caller answers callers over HTTP/1.1.
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

// Observer sees every answered request. Of a request that could not be parsed,
// some fields are empty.
type Observer interface {
	Answered(r call.Request, status int, err error, took time.Duration)
}

// Server is the side of a node that callers see.
type Server struct {
	http1.Server
	// Calls answers the requests; never nil.
	Calls call.Server
	// Rules is never nil where Dialect is.
	Rules Rules
	// Dialect reads requests and marks answers; nil means the system's own headers.
	Dialect Dialect
	// Observer may be nil.
	Observer Observer
	// Rejected is called for input that never gets to Calls, with an ID where there is
	// one; it may be nil.
	Rejected func(id string, f *fault.Error)
}

// Dialect is the set of headers that one kind of caller uses.
type Dialect interface {
	// Parse makes a request of the system from an HTTP request. What it returns
	// with an error is used for the log only.
	Parse(r *http.Request, body []byte, now time.Time) (call.Request, error)
	// SetAnswerHeaders adds what callers are told with an answer.
	SetAnswerHeaders(h http.Header, r call.Request, a *call.Answer)
	// SetErrorHeaders adds what callers are told with an error.
	SetErrorHeaders(h http.Header, id string, f *fault.Error)
}

// Listen binds the address and starts to serve callers.
func (s *Server) Listen(addr string) error {
	s.Handler = s.handle
	if s.Dialect == nil {
		s.Dialect = ownDialect{s.Rules}
	}
	s.BadRequest = s.badRequest
	return s.Server.Listen(addr)
}

func (s *Server) badRequest(err error) *http.Response {
	f := classify(err)
	s.reject("", f)
	return s.respondFault(f, "")
}

// classify types the error of input that is no request.
func classify(err error) *fault.Error {
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		return fault.New(fault.KindTooLarge, "the body is over the limit")
	case errors.Is(err, http1.ErrHeaderTooLarge):
		return fault.New(fault.KindHeaderTooLarge, "%v", err)
	case errors.Is(err, http1.ErrHeaderTooSlow):
		return fault.New(fault.KindHeaderTooSlow, "%v", err)
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
	start := time.Now()
	r, err := s.Dialect.Parse(hr, body, start)
	if err != nil {
		f := fault.As(err)
		s.observe(r, f.Status, f, start)
		s.reject(r.ID, f)
		return s.respondFault(f, r.ID)
	}
	cancel := context.CancelFunc(func() {})
	if !r.Deadline.IsZero() { // without one, the route's timeout holds
		ctx, cancel = context.WithDeadline(ctx, r.Deadline)
	}
	answer, err := s.Calls.Serve(ctx, r)
	if err != nil {
		cancel()
		f := fault.As(err)
		s.observe(r, f.Status, f, start)
		return s.respondFault(f, r.ID)
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

// contentLength returns the length to declare. The answer to HEAD declares the
// length that GET would have and carries no body.
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
