package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// Incoming is a request of a peer.
type Incoming struct {
	// From is the hello of the peer.
	From       []byte
	Head, Body []byte
}

// Reply is the answer to a peer.
type Reply struct {
	Head []byte
	// Body is the body, or its beginning when Rest is set.
	Body []byte
	// Rest is nil, or what follows; an error while it is read cuts the answer short.
	Rest io.ReadCloser
}

// Handler answers one request; ctx ends when the peer gives it up.
type Handler func(ctx context.Context, r Incoming) Reply

// Server serves peers. Set the exported fields before Listen.
type Server struct {
	Handler Handler
	// MaxBody bounds the body of one request in bytes; zero means 64 MB.
	MaxBody int

	listener net.Listener
	mu       sync.Mutex
	conns    map[*accepted]struct{}
	closed   bool
}

const defaultMaxBody = 64 << 20

// Listen binds the address and starts to serve.
func (s *Server) Listen(addr string) error {
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen on TCP %s; choose a free port", addr)
	}
	s.listener = listener
	s.conns = make(map[*accepted]struct{})
	go s.accept()
	return nil
}

// Addr returns the TCP address in use.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		a := &accepted{server: s, socket: newSocket(conn), streams: make(map[uint32]*answering)}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		s.conns[a] = struct{}{}
		s.mu.Unlock()
		go a.run()
	}
}

// Close ends all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for a := range s.conns {
		_ = a.socket.Close()
	}
}

// accepted is one connection of a peer.
type accepted struct {
	server *Server
	socket *socket
	hello  []byte

	mu      sync.Mutex
	streams map[uint32]*answering
}

// answering is one request of a peer.
type answering struct {
	head, body []byte
	cancel     context.CancelFunc
	ctx        context.Context
	// room is the number of answer bytes that may be sent.
	room   int
	signal chan struct{}
}

func (a *accepted) run() {
	defer a.end()
	r := bufio.NewReaderSize(a.socket, readBuffer)
	for {
		f, err := readFrame(r)
		if err != nil || a.take(f) != nil {
			return
		}
	}
}

func (a *accepted) end() {
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

// take handles one frame; an error ends the connection.
func (a *accepted) take(f frame) error {
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
	case s == nil: // given up before
	case f.kind == frameData:
		if len(s.body)+len(f.payload) > a.server.MaxBody {
			return eris.Errorf("request body is over %d bytes", a.server.MaxBody)
		}
		s.body = append(s.body, f.payload...)
	case f.kind == frameEnd:
		go a.answer(f.stream, s)
	case f.kind == frameReset:
		a.forget(f.stream)
	case f.kind == frameCredit && len(f.payload) == 4:
		a.mu.Lock()
		s.room += int(binary.BigEndian.Uint32(f.payload))
		a.mu.Unlock()
		select {
		case s.signal <- struct{}{}:
		default:
		}
	}
	return nil
}

func (a *accepted) open(f frame) error {
	ctx, cancel := context.WithCancel(context.Background())
	s := &answering{head: f.payload, ctx: ctx, cancel: cancel, room: answerWindow, signal: make(chan struct{}, 1)}
	a.mu.Lock()
	a.streams[f.stream] = s
	a.mu.Unlock()
	return a.socket.frame(frameAccept, f.stream, nil)
}

func (a *accepted) forget(id uint32) {
	a.mu.Lock()
	s := a.streams[id]
	delete(a.streams, id)
	a.mu.Unlock()
	if s != nil {
		s.cancel()
	}
}

func (a *accepted) answer(id uint32, s *answering) {
	defer a.forget(id)
	reply := a.server.Handler(s.ctx, Incoming{From: a.hello, Head: s.head, Body: s.body})
	if reply.Rest != nil {
		defer reply.Rest.Close()
	}
	if s.ctx.Err() != nil {
		return
	}
	out := net.Buffers{append(appendHeader(nil, frameHead, id, len(reply.Head)), reply.Head...)}
	if reply.Rest == nil {
		_ = a.socket.send(appendBody(out, id, reply.Body)) // a failed write ends the connection
		return
	}
	if len(reply.Body) > 0 {
		out = append(out, appendHeader(nil, frameData, id, len(reply.Body)), reply.Body)
		a.mu.Lock()
		s.room -= len(reply.Body)
		a.mu.Unlock()
	}
	if a.socket.send(out) == nil {
		a.stream(id, s, reply.Rest)
	}
}

// stream sends the rest of an answer as the peer takes it.
func (a *accepted) stream(id uint32, s *answering, rest io.Reader) {
	buf := make([]byte, dataFrame)
	for {
		n, err := rest.Read(buf)
		if n > 0 {
			if !a.reserve(s, n) || a.socket.frame(frameData, id, buf[:n]) != nil {
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

// reserve waits until the peer takes n more bytes.
func (a *accepted) reserve(s *answering, n int) bool {
	for {
		a.mu.Lock()
		if s.room >= n || s.room >= answerWindow/2 {
			s.room -= n
			a.mu.Unlock()
			return true
		}
		a.mu.Unlock()
		select {
		case <-s.signal:
		case <-s.ctx.Done():
			return false
		}
	}
}
