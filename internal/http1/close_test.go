package http1

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"gotest.tools/v3/assert"
)

// closers are the ways in which the server closes an idle connection.
var closers = map[string]func(s *Server){
	"idle timer": func(s *Server) {
		s.SetLimits(Limits{IdleTimeout: time.Nanosecond})
		for _, c := range s.snapshot() {
			c.closeIdle()
		}
	},
	"drain": func(s *Server) { s.closeIdle() },
}

// Guards against a request that is passed on while its connection is being closed as
// idle, so that it runs without an answer.
func TestRequestIsAnsweredIfConnectionLooksIdle(t *testing.T) {
	for name, closeIdle := range closers {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			s := &Server{Handler: echo}
			// Repeatable is called while the request is being passed on.
			s.Repeatable = func(*http.Request) bool {
				go func() {
					closeIdle(s)
					close(closed)
				}()
				select {
				case <-closed:
				case <-time.After(100 * time.Millisecond): // it waits for the parser
				}
				return true
			}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			t.Cleanup(s.Close)
			response, err := http.ReadResponse(bufio.NewReader(get(t, s)), nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			assert.Equal(t, response.StatusCode, http.StatusOK)
			<-closed
		})
	}
}

// Guards against a request that was read before its connection was closed as idle and
// is passed on after that.
func TestClosedConnectionPassesNothingOn(t *testing.T) {
	for name, closeIdle := range closers {
		t.Run(name, func(t *testing.T) {
			s, c := unpolled(t, Limits{})
			closeIdle(s)
			assert.Assert(t, isClosed(c))
			err := c.framer.feed(func([]byte) error {
				t.Error("a request was passed on")
				return nil
			}, []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
			assert.NilError(t, err)
		})
	}
}

// Guards against a connection that is closed as idle before its caller gets the
// response to bad input.
func TestRefusalComesBeforeClose(t *testing.T) {
	for name, closeIdle := range closers {
		t.Run(name, func(t *testing.T) {
			s, c := unpolled(t, Limits{})
			badInput := errors.New("bad input")
			err := c.framer.feed(func([]byte) error { return badInput }, []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
			assert.ErrorIs(t, err, badInput)
			closeIdle(s)
			assert.Assert(t, !isClosed(c))
		})
	}
}

// unpolled returns a server with one connection, which no poller reads from.
func unpolled(t *testing.T, l Limits) (*Server, *conn) {
	t.Helper()
	s := &Server{conns: make(map[*nbio.Conn]*conn)}
	s.SetLimits(l)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	nc, err := nbio.NBConn(dialed)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	s.onOpen(nc)
	c := s.find(nc)
	t.Cleanup(c.stopIdle)
	return s, c
}

func isClosed(c *conn) bool {
	closed, _ := c.IsClosed()
	return closed
}
