package http1

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
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

// Guards against a connection that is closed by the idle time-out that was in force
// when its last request ended, while its caller relies on a longer one.
func TestIdleTimeoutInForce(t *testing.T) {
	const start = time.Minute
	for name, c := range map[string]struct {
		// changes holds the limit that is set at each time.
		changes map[time.Duration]time.Duration
		closed  time.Duration
	}{
		"unchanged":          {nil, start},
		"raised":             {map[time.Duration]time.Duration{30 * time.Second: time.Hour}, time.Hour},
		"raised twice":       {map[time.Duration]time.Duration{30 * time.Second: time.Hour, 2 * time.Minute: 2 * time.Hour}, 2 * time.Hour},
		"raised and lowered": {map[time.Duration]time.Duration{10 * time.Second: time.Hour, 30 * time.Second: start}, start},
		"raised at the end":  {map[time.Duration]time.Duration{start - 1: start + 1}, start + 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, opened := unpolled(t, Limits{IdleTimeout: start})
				for at, limit := range c.changes {
					time.AfterFunc(at, func() { s.SetLimits(Limits{IdleTimeout: limit}) })
				}
				time.Sleep(c.closed - 1)
				synctest.Wait()
				assert.Assert(t, !isClosed(opened))
				time.Sleep(1)
				synctest.Wait()
				assert.Assert(t, isClosed(opened))
			})
		})
	}
}

// Guards against an idle timer that fires while a request arrives and closes the
// connection after the answer to it, when the caller takes the connection as fresh.
func TestLateIdleTimerKeepsConnection(t *testing.T) {
	_, c := unpolled(t, Limits{})
	c.closeIdle()
	assert.Assert(t, !isClosed(c))
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
