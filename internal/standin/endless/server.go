// Package endless stands in for a server in trouble that sends bytes without end until
// its caller closes the connection.
package endless

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partSize is how many bytes are sent at once.
	partSize = 4 << 10
	// sendBuffer is small, so that Sent hardly counts bytes that nobody has received.
	sendBuffer = 16 << 10
)

// Server answers requests with First, and then Text again and again.
type Server struct {
	First, Text string
	// Drip is the time between two bytes of Text; zero means that it is sent at once.
	Drip time.Duration
	// Path limits this to requests for one path, and others get Answer; empty means all.
	Path, Answer string

	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{}
	once     sync.Once
}

// Start listens on a free port of the loopback interface.
func (s *Server) Start() (addr string, err error) {
	s.closed = make(chan struct{})
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for c, err := s.listener.Accept(); err == nil; c, err = s.listener.Accept() {
			go s.serve(c)
		}
	}()
	return s.listener.Addr().String(), nil
}

// Stop stops accepting connections.
func (s *Server) Stop() { _ = s.listener.Close() }

// Sent returns the number of bytes of Text that were sent.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Closed returns a channel that is closed when a caller has closed its connection during
// an answer.
func (s *Server) Closed() <-chan struct{} { return s.closed }

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	_ = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	request := make([]byte, partSize)
	n, err := c.Read(request)
	if err != nil {
		return
	}
	if !strings.Contains(string(request[:n]), " "+s.Path) {
		_, _ = io.WriteString(c, s.Answer)
		return
	}
	defer s.once.Do(func() { close(s.closed) })
	_, err = io.WriteString(c, s.First)
	text := strings.Repeat(s.Text, 1+partSize/len(s.Text))
	for i := 0; err == nil; i++ {
		part := text
		if s.Drip > 0 {
			part = text[i%len(text):][:1]
			time.Sleep(s.Drip)
		}
		_, err = io.WriteString(c, part)
		s.sent.Add(int64(len(part)))
	}
}
