package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Incoming is a request from a peer.
type Incoming struct {
	// From is the Hello of the peer's client.
	From       []byte
	Head, Body []byte
}

// Reply is the answer to an Incoming request.
type Reply struct {
	Head []byte
	// Payload is the body, or its beginning when Rest is set.
	Payload []byte
	// Rest is the remainder of the body, or nil. If reading it fails, the client's
	// answer ends with ErrTruncated.
	Rest io.ReadCloser
}

// Uplink schedules what is sent on the link of this host.
type Uplink interface {
	// Schedule schedules n bytes and returns how long to wait before they are sent.
	Schedule(n int, now time.Time) time.Duration
}

// Handler serves one request. ctx is canceled when the client cancels the request or
// its connection ends.
type Handler func(ctx context.Context, r Incoming) Reply

// Server serves requests of peers. Set the exported fields before Listen.
type Server struct {
	Handler Handler
	// MaxBody bounds the body of one request in bytes; zero means 64 MB.
	MaxBody int
	// Panicked is called when the handler has panicked; the client's request then fails
	// as truncated. It may be nil.
	Panicked func(cause any, stack []byte)
	// Uplink schedules the answers; nil means that they are sent at once.
	Uplink Uplink

	// frameTimeout is the maximum time of a frame; zero means the default.
	frameTimeout time.Duration

	listener net.Listener
	// sending counts the answers that are being sent.
	sending atomic.Int64
	mu      sync.Mutex
	conns   map[*serverConn]struct{}
	closed  bool
}

const (
	defaultMaxBody = 64 << 20
	// maxStreams bounds the requests of one peer that have no answer yet.
	maxStreams = 4096
)

// Listen binds the TCP address and starts to serve.
func (s *Server) Listen(addr string) error {
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s; choose a free port", addr)
	}
	s.listener = listener
	s.conns = make(map[*serverConn]struct{})
	go s.accept()
	return nil
}

// Addr returns the TCP address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		a := &serverConn{server: s, socket: newSocket(conn), streams: make(map[uint32]*serverStream)}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[a] = struct{}{}
		s.mu.Unlock()
		go a.readFrames()
	}
}

// Sending returns the number of answers that are being sent. It counts an answer from
// the moment that the handler has returned it.
func (s *Server) Sending() int { return int(s.sending.Load()) }

// Close stops listening and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for a := range s.conns {
		_ = a.socket.Close()
	}
}

// serverConn is the server side of a connection.
type serverConn struct {
	server *Server
	socket *socket
	hello  []byte

	mu      sync.Mutex
	streams map[uint32]*serverStream
}

// serverStream is the server side of one request.
type serverStream struct {
	head, body []byte
	cancel     context.CancelFunc
	ctx        context.Context
	// window is the number of answer bytes that may be sent.
	window int
	// credited receives a value when window has grown.
	credited chan struct{}
}

func (a *serverConn) readFrames() {
	defer a.end()
	r := newFrameReader(a.socket, a.server.frameTimeout)
	for {
		f, err := r.next()
		if err != nil || a.handleFrame(f) != nil {
			return
		}
	}
}

func (a *serverConn) end() {
	_ = a.socket.Close()
	a.server.mu.Lock()
	delete(a.server.conns, a)
	a.server.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.streams {
		s.cancel()
	}
}

// handleFrame handles one frame; an error ends the connection.
func (a *serverConn) handleFrame(f frame) error {
	a.mu.Lock()
	s := a.streams[f.stream]
	a.mu.Unlock()
	switch {
	case f.kind == frameHello:
		a.hello = f.payload
	case f.kind == framePing:
		return a.socket.frame(framePong, 0, nil)
	case f.kind == frameOpen && s == nil:
		return a.open(f)
	case f.kind == frameOpen:
		return eris.Errorf("stream %d is open already", f.stream)
	case s == nil: // the stream has ended, for example by a reset
	case f.kind == frameData:
		if len(s.body)+len(f.payload) > a.server.MaxBody {
			return eris.Errorf("request body is over %d bytes", a.server.MaxBody)
		}
		s.body = append(s.body, f.payload...)
	case f.kind == frameEnd:
		go a.answer(f.stream, s)
	case f.kind == frameReset:
		a.removeStream(f.stream)
	case f.kind == frameCredit && len(f.payload) == 4:
		a.mu.Lock()
		s.window += int(binary.BigEndian.Uint32(f.payload))
		a.mu.Unlock()
		select {
		case s.credited <- struct{}{}:
		default:
		}
	}
	return nil
}

func (a *serverConn) open(f frame) error {
	ctx, cancel := context.WithCancel(context.Background())
	s := &serverStream{head: f.payload, ctx: ctx, cancel: cancel, window: answerWindow, credited: make(chan struct{}, 1)}
	a.mu.Lock()
	a.streams[f.stream] = s
	open := len(a.streams)
	a.mu.Unlock()
	if open > maxStreams {
		return eris.Errorf("more than %d streams are open", maxStreams)
	}
	return a.socket.frame(frameAccept, f.stream, nil)
}

func (a *serverConn) removeStream(id uint32) {
	a.mu.Lock()
	s := a.streams[id]
	delete(a.streams, id)
	a.mu.Unlock()
	if s != nil {
		s.cancel()
	}
}

func (a *serverConn) answer(id uint32, s *serverStream) {
	defer a.removeStream(id)
	defer a.recover(id)
	reply := a.server.Handler(s.ctx, Incoming{From: a.hello, Head: s.head, Body: s.body})
	if reply.Rest != nil {
		defer reply.Rest.Close()
	}
	if s.ctx.Err() != nil {
		return
	}
	if len(reply.Head) > maxFrameSize {
		_ = a.socket.frame(frameReset, id, nil)
		return
	}
	a.server.sending.Add(1)
	defer a.server.sending.Add(-1)
	out := net.Buffers{append(appendHeader(nil, frameHead, id, len(reply.Head)), reply.Head...)}
	if reply.Rest == nil && len(reply.Payload) <= dataFrameSize {
		a.schedule(s, len(reply.Head)+len(reply.Payload), false)
		_ = a.socket.send(appendBody(out, id, reply.Payload)) // a failed write ends the connection
		return
	}
	a.schedule(s, len(reply.Head), false)
	if a.socket.send(out) != nil {
		return
	}
	rest := io.Reader(bytes.NewReader(reply.Payload))
	if reply.Rest != nil {
		rest = io.MultiReader(rest, reply.Rest)
	}
	a.sendBody(id, s, rest)
}

// recover ends a request whose handler has panicked, so that the process goes on.
func (a *serverConn) recover(id uint32) {
	cause := recover()
	if cause == nil {
		return
	}
	if a.server.Panicked != nil {
		a.server.Panicked(cause, debug.Stack())
	}
	_ = a.socket.frame(frameReset, id, nil)
}

// schedule schedules n bytes of an answer. If they are a part of a large one, it waits
// until the link is free for them; it returns false if the request is canceled.
func (a *serverConn) schedule(s *serverStream, n int, large bool) bool {
	if a.server.Uplink == nil {
		return true
	}
	wait := a.server.Uplink.Schedule(n, time.Now())
	if !large || wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// sendBody sends the rest of an answer within the client's flow control window.
func (a *serverConn) sendBody(id uint32, s *serverStream, rest io.Reader) {
	buf := make([]byte, dataFrameSize)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if !a.reserveWindow(s, n) || !a.schedule(s, n, true) || a.socket.frame(frameData, id, buf[:n]) != nil {
				return
			}
		}
		switch err {
		case nil:
		case io.EOF:
			_ = a.socket.frame(frameEnd, id, nil)
			return
		default:
			_ = a.socket.frame(frameReset, id, nil)
			return
		}
	}
}

// reserveWindow takes n bytes from the window and waits for credit if necessary. It
// returns false if the request is canceled.
func (a *serverConn) reserveWindow(s *serverStream, n int) bool {
	for {
		a.mu.Lock()
		if s.window >= n || s.window >= answerWindow/2 {
			s.window -= n
			a.mu.Unlock()
			return true
		}
		a.mu.Unlock()
		select {
		case <-s.credited:
		case <-s.ctx.Done():
			return false
		}
	}
}
