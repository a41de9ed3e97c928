// Package http1 serves HTTP/1.1 with nbhttp. Answers are written by net/http's
// Response.Write on the connection, because nbhttp v1.6.8 turns status codes it
// does not know into 200, frees a buffer twice for chunks of 64 KB and more, and
// closes a connection while bytes of the answer are still queued.
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
	pollers    = 2
	maxConns   = 4096
	// lingerTime is how long a connection with bad input stays open after the
	// answer: a close while input arrives resets it, and the caller loses the
	// answer.
	lingerTime = time.Second
)

// Handler answers one request. The body is whole; ctx ends when the caller's
// connection is closed. The response's body is closed after it was written.
type Handler func(ctx context.Context, r *http.Request, body []byte) *http.Response

// BadRequest makes the response to a request that could not be parsed.
type BadRequest func(err error) *http.Response

// Memory bounds the bytes of request bodies that are held at a time.
type Memory interface {
	// Take reports whether n more bytes may be held.
	Take(n int) bool
	// Release gives bytes back.
	Release(n int)
}

// ErrNoMemory is the error of a request whose body finds no room in Memory.
var ErrNoMemory = errors.New("too many bytes of request bodies are held")

// Server is one HTTP/1.1 listener. Set the exported fields before Listen.
type Server struct {
	Handler Handler
	// BadRequest is nil for a plain 400 or 413.
	BadRequest BadRequest
	// Limits hold from the start, until SetLimits.
	Limits Limits
	// Memory bounds the bodies of all requests together; nil means no bound.
	Memory Memory
	// StallTimeout is how long a write may make no progress; zero means 30 s.
	StallTimeout time.Duration

	engine   *nbhttp.Engine
	listener net.Listener
	limits   atomic.Pointer[Limits]
	closing  sync.Once
	// stopped is closed with the server.
	stopped chan struct{}

	mu sync.Mutex
	// conns holds every open connection.
	conns map[*nbio.Conn]*conn
	// draining asks callers to use other connections.
	draining bool
}

func init() {
	// Connections that callers reset are not faults of this process.
	logging.SetLevel(logging.LevelNone)
}

// Listen binds the address and starts to serve.
func (s *Server) Listen(addr string) error {
	if s.limits.Load() == nil {
		s.SetLimits(s.Limits)
	}
	if s.StallTimeout == 0 {
		s.StallTimeout = defaultStall
	}
	s.conns = make(map[*nbio.Conn]*conn)
	s.stopped = make(chan struct{})
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s; choose a free port", addr)
	}
	listener = &patientListener{Listener: listener, stopped: s.stopped}
	s.listener = listener
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:    "http1",
		Network: "tcp",
		Addrs:   []string{addr},
		NPoller: pollers,
		MaxLoad: maxConns,
		// framer applies the limits in force, which may change.
		ReadLimit:       bodyCeiling + headerCeiling,
		ReadBufferSize:  readBuffer,
		MaxHTTPBodySize: bodyCeiling,
		KeepaliveTime:   s.current().IdleTimeout,
		Listen:          func(string, string) (net.Listener, error) { return listener, nil },
		ServerExecutor:  func(f func()) { go f() },
		Handler:         http.HandlerFunc(s.serve),
		OnRequest:       s.adopt,
		OnAcceptError:   func(error) {},

		SupportServerOnly: true,
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(s.ended)
	s.engine.Engine.OnData(s.parse)
	s.engine.Engine.OnWrittenSize(s.written)
	return eris.Wrap(s.engine.Start(), "start HTTP server")
}

// Addr returns the TCP address in use.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) opened(c net.Conn) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	s.conns[nc] = &conn{
		Conn: nc, stall: s.StallTimeout, room: make(chan struct{}, 1), framer: framer{limits: s.current, memory: s.Memory},
	}
	s.mu.Unlock()
}

func (s *Server) ended(c net.Conn, _ error) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	closed := s.conns[nc]
	delete(s.conns, nc)
	s.mu.Unlock()
	if closed != nil {
		closed.release()
	}
}

func (s *Server) find(nc *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[nc]
}

// adopt runs in the order of parsing, before the request is handed to a
// goroutine.
func (s *Server) adopt(w http.ResponseWriter, r *http.Request) {
	if c := s.connOf(w); c != nil {
		c.pending.Add(1)
		c.keep(r, c.framer.take())
		// A request may outlast the rest of the time that its connection may be idle.
		_ = c.SetReadDeadline(time.Time{})
	}
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

func (s *Server) parse(nc *nbio.Conn, data []byte) {
	// The lock in find also orders this after the accept of the connection,
	// which the poller learns of only through the kernel.
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
	if err == nil {
		if c.pending.Load() == 0 {
			_ = c.SetReadDeadline(time.Now().Add(s.current().IdleTimeout))
		}
		return
	}
	if c.pending.Load() == 0 && !errors.Is(err, net.ErrClosed) {
		go s.reject(c, err)
		return
	}
	_ = nc.CloseWithError(err)
}

// reject answers input that is no request, and closes the connection.
func (s *Server) reject(c *conn, err error) {
	_ = c.respond(s.badRequest(err), nil, true)
	time.AfterFunc(lingerTime, func() { _ = c.CloseWithError(err) })
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
	case errors.Is(err, ErrHeaderTooSlow):
		status = http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		status = http.StatusServiceUnavailable
	}
	return Text(status, err.Error())
}

func (s *Server) written(nc *nbio.Conn, _ []byte, n int) {
	if c := s.find(nc); c != nil {
		c.sent(n)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := s.connOf(w)
	if c == nil {
		return
	}
	defer c.pending.Add(-1)
	_, _, _ = w.(http.Hijacker).Hijack()
	body := c.bodyOf(r)
	defer c.framer.give(len(body))
	ctx, cancel := context.WithCancel(context.Background())
	c.setCancel(cancel)
	defer func() {
		c.setCancel(nil)
		cancel()
	}()
	response := s.Handler(ctx, r, body)
	last := r.Close || s.isDraining()
	if err := c.respond(response, r, last); err != nil || last {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(s.current().IdleTimeout))
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// Tick cancels requests whose caller's connection is closed: nbhttp tells of
// a close only after the running handler has returned. It also ends connections
// whose header does not get whole.
func (s *Server) Tick() {
	begun := time.Now().Add(-s.current().HeadTimeout)
	for _, c := range s.snapshot() {
		if closed, _ := c.IsClosed(); closed {
			c.cancelRequest()
		} else if c.pending.Load() == 0 && c.framer.giveUp(begun) {
			go s.reject(c, ErrHeaderTooSlow)
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

// Conns returns the number of open connections and of those with a request.
func (s *Server) Conns() (open, busy int) {
	for _, c := range s.snapshot() {
		open++
		if c.pending.Load() > 0 {
			busy++
		}
	}
	return open, busy
}
