// Package broken stands in for a server in trouble whose answers violate HTTP/1.1 or whose
// connections end in the middle of them.
package broken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// End is what the server does with a connection after an answer.
type End int

// Ends of connections.
const (
	// Keep reads the rest of the request and waits for the next one.
	Keep End = iota
	// Close closes the connection. The kernel resets it if bytes of the request are unread.
	Close
	// HalfClose ends the answer and then reads the rest of the request.
	HalfClose
	// Reset resets the connection.
	Reset
)

// ID stands in Server.Answer for the ID of the request.
const ID = "{id}"

// HealthPath is the path of requests that get Server.Health.
const HealthPath = "/health"

// Server answers each request with Answer. Set the exported fields before Start.
type Server struct {
	// Answer is sent as it is, with ID replaced.
	Answer string
	// Health is sent to requests for HealthPath; empty means Answer.
	Health string
	// Late is sent before Health on connections on which a request was answered.
	Late string
	// Header is the header of a request that contains its ID.
	Header string
	// Early sends the answer before the body of the request is read.
	Early bool
	// End is what follows the answer.
	End End
	// Pause is how long the server is silent once in each answer, and PauseAt the number of
	// bytes that it has sent before.
	Pause   time.Duration
	PauseAt int
	// Limit is how many requests are answered on a connection before the next one closes
	// it; zero means no limit.
	Limit int

	listener net.Listener
	mu       sync.Mutex
	// requests counts the requests by ID, without those for Health.
	requests map[string]int
	// conns holds the open connections.
	conns map[net.Conn]bool
}

// Start listens on addr and passes Stop to cleanup.
func (s *Server) Start(addr string, cleanup func(func())) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.listener, s.requests, s.conns = listener, make(map[string]int), make(map[net.Conn]bool)
	cleanup(s.Stop)
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// Requests returns how often a request has arrived.
func (s *Server) Requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

func (s *Server) serve(c *net.TCPConn) {
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	answered := 0
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if s.Health != "" && r.URL.Path == HealthPath {
			if answered > 0 {
				_, _ = io.WriteString(c, s.Late)
			}
			_, _ = io.WriteString(c, s.Health)
			continue
		}
		if !s.answer(c, r, s.Limit > 0 && answered == s.Limit) {
			return
		}
		answered++
	}
}

// answer answers one request unless the connection is over its limit, and reports whether
// the connection stays open.
func (s *Server) answer(c *net.TCPConn, r *http.Request, over bool) bool {
	id := r.Header.Get(s.Header)
	s.mu.Lock()
	s.requests[id]++
	s.mu.Unlock()
	if over {
		return false
	}
	if !s.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	s.send(c, strings.ReplaceAll(s.Answer, ID, id))
	switch s.End {
	case Reset:
		_ = c.SetLinger(0)
	case HalfClose:
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, r.Body)
	case Keep:
		_, _ = io.Copy(io.Discard, r.Body)
		return true
	}
	return false
}

// send sends an answer and pauses once within it.
func (s *Server) send(w io.Writer, answer string) {
	if s.Pause > 0 {
		at := min(s.PauseAt, len(answer))
		_, _ = io.WriteString(w, answer[:at])
		time.Sleep(s.Pause)
		answer = answer[at:]
	}
	_, _ = io.WriteString(w, answer)
}
