package backend

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// sentRequest returns the sending of a request that was sent completely.
func sentRequest() *sending {
	s := &sending{done: make(chan struct{})}
	s.end(nil)
	return s
}

// scriptedConn is a connection on which an answer and its end arrive, and a write ends
// after some time.
type scriptedConn struct {
	net.Conn
	answer string
	// readEnd is when reads return io.EOF, and writeEnd when the write returns writeErr.
	readEnd, writeEnd time.Duration
	writeErr          error

	mu     sync.Mutex
	read   int
	closed chan struct{}
	once   sync.Once
	// asked is closed when the first write has begun, and the answer arrives.
	asked   chan struct{}
	askOnce sync.Once
}

func newScriptedConn(answer string) *scriptedConn {
	return &scriptedConn{answer: answer, closed: make(chan struct{}), asked: make(chan struct{})}
}

// Read implements io.Reader.
func (c *scriptedConn) Read(p []byte) (int, error) {
	select {
	case <-c.asked:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	n := copy(p, c.answer[c.read:])
	c.read += n
	c.mu.Unlock()
	if n > 0 {
		return n, nil
	}
	return 0, c.after(c.readEnd, io.EOF)
}

// Write implements io.Writer.
func (c *scriptedConn) Write(p []byte) (int, error) {
	c.askOnce.Do(func() { close(c.asked) })
	if err := c.after(c.writeEnd, c.writeErr); err != nil {
		return 0, err
	}
	return len(p), nil
}

// after returns err after a time, or net.ErrClosed when the connection is closed before.
func (c *scriptedConn) after(d time.Duration, err error) error {
	select {
	case <-time.After(d):
		return err
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close implements io.Closer.
func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// RemoteAddr implements net.Conn.
func (c *scriptedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}

// SetReadDeadline implements net.Conn.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// Guards against a body without a length that is complete or not depending on whether its
// end or the end of the request's write comes first.
func TestEndOfAnUnframedBodyWaitsForTheRequest(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\npart"
	for name, c := range map[string]struct {
		readEnd, writeEnd time.Duration
		writeErr          error
		kind              fault.Kind
	}{
		"reset, write first":      {readEnd: 2 * time.Second, writeEnd: time.Second, writeErr: syscall.ECONNRESET, kind: fault.KindServerLost},
		"reset, read first":       {readEnd: time.Second, writeEnd: 2 * time.Second, writeErr: syscall.ECONNRESET, kind: fault.KindServerLost},
		"broken pipe, read first": {readEnd: time.Second, writeEnd: 2 * time.Second, writeErr: syscall.EPIPE, kind: fault.KindServerLost},
		"sent, then end":          {readEnd: 2 * time.Second, writeEnd: time.Second},
		"end, then sent":          {readEnd: time.Second, writeEnd: 2 * time.Second},
		"end, never sent":         {readEnd: time.Second, writeEnd: time.Hour, kind: fault.KindDeadline},
	} {
		for reader, read := range scriptedReaders {
			t.Run(name+"/"+reader, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conn := newScriptedConn(answer)
					conn.readEnd, conn.writeEnd, conn.writeErr = c.readEnd, c.writeEnd, c.writeErr
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					body, err := read(ctx, conn)
					if c.kind == "" {
						assert.NilError(t, err)
						assert.Equal(t, body, "part")
						return
					}
					assert.Assert(t, err != nil, "%q was taken for the whole answer", body)
					assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
					if reader == "pool" {
						assert.Assert(t, fault.Is(err, c.kind), "%v", err)
					}
				})
			})
		}
	}
}

// scriptedReaders are the ways to read the answer to an upload on a connection.
var scriptedReaders = map[string]func(ctx context.Context, conn *scriptedConn) (body string, err error){
	"client": func(ctx context.Context, conn *scriptedConn) (string, error) {
		var c Client
		c.roundTripper().DialContext = func(context.Context, string, string) (net.Conn, error) {
			return newClientConn(conn, 0), nil
		}
		defer c.CloseIdle()
		_, body, err := readAnswer(c.Do(ctx, conn.RemoteAddr().String(), upload("1", 2*maxSyncWrite)))
		return body, err
	},
	"pool": func(ctx context.Context, conn *scriptedConn) (string, error) {
		idle := newServerConn(conn, 0)
		idle.expires = time.Now().Add(time.Minute)
		p := Pool{HeaderNames: testHeaderNames, requests: idleConns{conns: []*serverConn{idle}}}
		defer p.Close()
		r := upload("1", 2*maxSyncWrite)
		r.Idempotent = true
		_, body, err := readAnswer(p.Do(ctx, conn.RemoteAddr().String(), r))
		return body, err
	},
}
