// Package http1 serves HTTP/1.1 with nbhttp. Responses are written to the
// connection by net/http's Response.Write, because nbhttp v1.6.8 replaces unknown
// status codes by 200, frees a buffer twice for chunks of 64 KB and more, and
// closes a connection while bytes of the response are still queued.
package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

const (
	// readBuffer is the size of the shared read buffer of each poller.
	readBuffer = 32 << 10
	// pollers is one, so that the connection of awaitPoller shows that all of them run.
	pollers  = 1
	maxConns = 4096
	// lingerTime is how long a connection with bad input stays open after the
	// response. Closing it while input arrives would reset it, and the caller would
	// lose the response.
	lingerTime = time.Second
	// maxIgnored is how many bytes a connection with bad input may send before it is
	// closed earlier.
	maxIgnored = 16 << 20
	// engineIdleTime is the idle time-out that nbhttp sets on a connection. It sets it
	// after its poller has started to read, so it could end the first request. The
	// server's own idle timer applies instead.
	engineIdleTime = 365 * 24 * time.Hour
	// startTimeout limits the wait for the poller.
	startTimeout = time.Second
)

// Handler answers one request, whose body was read completely. ctx ends when the
// caller's connection is closed. The response's body is closed after it was written.
type Handler func(ctx context.Context, r *http.Request, body []byte) *http.Response

// BadRequest returns the response to a request that could not be parsed.
type BadRequest func(err error) *http.Response

// Cut describes a connection that has ended in the middle of a request.
type Cut struct {
	// Reason is why the server closed the connection; empty if it was lost or closed by
	// the caller.
	Reason string
	// Requests is the number of whole requests that were not answered.
	Requests int
	// Partial is set when a part of a request was received.
	Partial bool
}

// Memory limits the total memory of request bodies.
type Memory interface {
	// Take reserves n bytes. It reserves nothing and returns false if that would
	// exceed the limit.
	Take(n int) bool
	// Release returns n reserved bytes.
	Release(n int)
}

// ErrNoMemory is the error for a request whose body exceeds the limit of Memory.
var ErrNoMemory = errors.New("too many bytes of request bodies are held")

// Server is an HTTP/1.1 server on one address. Set the exported fields before
// Listen.
type Server struct {
	Handler Handler
	// BadRequest may be nil; the response is then plain text with the status of the
	// error.
	BadRequest BadRequest
	// Limits apply from the start until SetLimits is called.
	Limits Limits
	// Memory limits the bodies of all requests together; nil means no limit.
	Memory Memory
	// Repeatable reports whether a request may run beside others of its connection and
	// may be sent again by its caller; nil means that no request may.
	Repeatable func(r *http.Request) bool
	// Panicked is called when the handler has panicked; the caller gets status 500. It
	// may be nil.
	Panicked func(cause any, stack []byte)
	// Cut is called when a connection has ended with requests that were not answered, or
	// with a part of a request; it may be nil.
	Cut func(c Cut)
	// Needed reports during a drain whether new requests may still depend on this
	// server: those of a process that makes them to answer its own. It may be nil.
	Needed func() bool
	// StallTimeout is the maximum time without progress of a write; zero means 30 s.
	StallTimeout time.Duration

	engine   *nbhttp.Engine
	listener net.Listener
	limits   atomic.Pointer[Limits]
	closing  sync.Once
	// stopped is closed by Close.
	stopped chan struct{}
	// polled is closed when a connection has ended, which the poller reports.
	polled     chan struct{}
	polledOnce sync.Once

	mu sync.Mutex
	// conns holds all open connections.
	conns map[*nbio.Conn]*conn
	// draining is set by Drain; responses then have "Connection: close".
	draining bool
}

func init() {
	// nbio logs connections that are reset by callers, which are not errors of this
	// process.
	logging.SetLevel(logging.LevelNone)
}

// Listen binds the address and starts serving.
func (s *Server) Listen(addr string) error {
	if s.limits.Load() == nil {
		s.SetLimits(s.Limits)
	}
	if s.StallTimeout == 0 {
		s.StallTimeout = defaultStallTimeout
	}
	s.conns = make(map[*nbio.Conn]*conn)
	s.stopped, s.polled = make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s; choose a free port", addr)
	}
	listener = &pausingListener{Listener: listener, stopped: s.stopped}
	s.listener = listener
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:    "http1",
		Network: "tcp",
		Addrs:   []string{addr},
		NPoller: pollers,
		MaxLoad: maxConns,
		// framer applies the current limits, which may change. These are the maximums.
		ReadLimit:       maxBodyLimit + maxHeaderLimit,
		ReadBufferSize:  readBuffer,
		MaxHTTPBodySize: maxBodyLimit,
		KeepaliveTime:   engineIdleTime,
		Listen:          func(string, string) (net.Listener, error) { return listener, nil },
		ServerExecutor:  func(f func()) { go f() },
		Handler:         http.HandlerFunc(s.serve),
		OnRequest:       s.onRequest,
		OnAcceptError:   func(error) {},

		SupportServerOnly: true,
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.Engine.OnData(s.onData)
	s.engine.Engine.OnWrittenSize(s.onWritten)
	if err := s.engine.Start(); err != nil {
		return eris.Wrap(err, "start HTTP server")
	}
	s.awaitPoller()
	return nil
}

// awaitPoller waits until the poller runs, by means of a connection that it has to
// close. nbio's Stop never returns if it is called before its poller has started.
func (s *Server) awaitPoller() {
	c, err := net.DialTimeout("tcp", s.Addr(), startTimeout)
	if err != nil {
		return
	}
	_ = c.Close()
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case <-s.polled:
	case <-timer.C:
	}
}

// Addr returns the TCP address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) onOpen(c net.Conn) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	opened := &conn{
		Conn: nc, stallTimeout: s.StallTimeout, progress: make(chan struct{}, 1), framer: framer{limits: s.currentLimits, memory: s.Memory},
	}
	opened.setIdle()
	s.mu.Lock()
	s.conns[nc] = opened
	s.mu.Unlock()
}

func (s *Server) onClose(c net.Conn, _ error) {
	s.polledOnce.Do(func() { close(s.polled) })
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	closed := s.conns[nc]
	delete(s.conns, nc)
	s.mu.Unlock()
	if closed == nil {
		return
	}
	closed.stopIdle()
	cut := Cut{Partial: closed.framer.close()}
	if reason := closed.endedBy.Load(); reason != nil {
		cut.Reason = *reason
	}
	var waiting []*exchange
	waiting, cut.Requests = closed.pipeline.close()
	for _, x := range waiting {
		closed.framer.releaseMemory(len(x.body))
	}
	if s.Cut != nil && (cut.Requests > 0 || cut.Partial) {
		s.Cut(cut)
	}
}

func (s *Server) find(nc *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[nc]
}

// onRequest is called in the order of parsing, before the request is passed to a
// goroutine.
func (s *Server) onRequest(w http.ResponseWriter, r *http.Request) {
	c := s.connOf(w)
	if c == nil {
		return
	}
	body := c.framer.takeBody()
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), arrivalKey{}, time.Now()))
	x := &exchange{parsed: r, request: r.WithContext(ctx), body: body, size: c.framer.headBytes + len(body), cancel: cancel}
	x.repeatable = s.Repeatable != nil && s.Repeatable(x.request)
	c.stopIdle()
	c.pending.Add(1)
	if !c.pipeline.push(x) {
		cancel()
		c.pending.Add(-1)
		c.framer.releaseMemory(len(body))
		c.framer.failed = true
		return
	}
	if r.Close {
		c.framer.failed = true
	}
	s.beginWaiting(c)
}

func (s *Server) connOf(w http.ResponseWriter) *conn {
	response, ok := w.(*nbhttp.Response)
	if !ok || response.Parser == nil {
		return nil
	}
	outer, ok := response.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return nil
	}
	nc, ok := outer.Conn.(*nbio.Conn)
	if !ok {
		return nil
	}
	return s.find(nc)
}

func (s *Server) onData(nc *nbio.Conn, data []byte) {
	// The lock in find also orders this after onOpen for the connection, because the
	// poller is notified of the connection only through the kernel.
	c := s.find(nc)
	parser, ok := nc.Session().(*nbhttp.Parser)
	if !ok || c == nil {
		_ = nc.Close()
		return
	}
	if c.framer.Processor == nil {
		c.framer.Processor = parser.Processor
		parser.Processor = &c.framer
	}
	err := c.framer.feed(parser.Parse, data)
	switch {
	case err == nil:
		if c.pending.Load() == 0 && c.framer.receiving() {
			c.setIdle()
		}
		if c.lingering.Load() && c.framer.flooded() {
			c.end(endInput, nil)
		}
	case errors.Is(err, net.ErrClosed):
		c.end(endInput, err)
	case !c.pipeline.end(err):
		go s.reject(c, err)
	}
}

// reject answers input that is not a valid request and closes the connection.
func (s *Server) reject(c *conn, err error) {
	_ = c.respond(s.badRequest(err), nil, true)
	c.linger(err)
}

func (s *Server) badRequest(err error) *http.Response {
	if s.BadRequest != nil {
		return s.BadRequest(err)
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, nbhttp.ErrTooLong):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, ErrHeaderTooSlow), errors.Is(err, ErrBodyTooSlow):
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		status = http.StatusServiceUnavailable
	}
	return Text(status, err.Error())
}

func (s *Server) onWritten(nc *nbio.Conn, _ []byte, n int) {
	if c := s.find(nc); c != nil {
		c.onSent(n)
	}
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Tick must be called periodically. It cancels requests whose caller's connection
// is closed, because nbhttp reports a close only after the running handler has
// returned. It also ends connections whose header exceeds the time-out or whose body
// arrives too slowly.
func (s *Server) Tick() {
	now := time.Now()
	for _, c := range s.snapshot() {
		if closed, _ := c.IsClosed(); closed {
			c.pipeline.cancel()
		} else if c.pending.Load() == 0 {
			if err := c.framer.expired(now); err != nil {
				go s.reject(c, err)
			}
		}
	}
}

func (s *Server) snapshot() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for _, c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Conns returns the number of open connections and the number of those with a
// request in flight.
func (s *Server) Conns() (open, busy int) {
	for _, c := range s.snapshot() {
		open++
		if c.pending.Load() > 0 {
			busy++
		}
	}
	return open, busy
}
