package backend

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/tcp"
)

// clientConn is a connection of a Client. It counts what is sent, because net/http takes
// the end of the connection for the end of a body while it is still sending the request.
type clientConn struct {
	tcp.Conn

	mu      sync.Mutex
	changed sync.Cond
	// sent is the number of bytes that were written, and begun that before the current
	// request.
	sent, begun int64
	// size is the size of the current request if the body of its answer ends with the
	// connection, and zero otherwise.
	size int64
	// failed is set when a write has failed, and closed and failed by Close.
	failed, closed bool
	// head scans the head of the current answer, final or interim.
	head headScanner
}

func newClientConn(conn net.Conn, partTimeout time.Duration) *clientConn {
	c := &clientConn{Conn: tcp.Conn{Conn: conn, Timeout: partTimeout}}
	c.changed.L = &c.mu
	return c
}

// begin begins a request.
func (c *clientConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.size = c.sent, 0
	c.head.begin(nil)
}

// checkHead returns an error if the head of a final answer is none.
func (c *clientConn) checkHead(response *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return checkHead(response, &c.head)
}

// interimEnded returns an error if the head of an interim answer is none, and begins with the
// one behind it.
func (c *clientConn) interimEnded(header http.Header) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := cmp.Or(call.CheckNames(header), c.head.err())
	c.head.begin(c.head.rest)
	return err
}

// expectEnd makes the end of the connection count as that of the body only after the whole
// request, which has the given size.
func (c *clientConn) expectEnd(size int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.size = size
}

// awaitSent waits until the request is sent if the body of its answer ends with the
// connection. It returns false if that fails.
func (c *clientConn) awaitSent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.sent < c.begun+c.size && !c.failed {
		c.changed.Wait()
	}
	return c.sent >= c.begun+c.size
}

// Read implements io.Reader.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	c.head.scan(p[:n])
	c.mu.Unlock()
	if err == io.EOF && !c.awaitSent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Write implements io.Writer. net/http discards the answer when a write fails, but the
// server may have answered before it has read the whole request. So if a part of the request
// was sent, the failure is reported after the answer, when the connection is closed.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += int64(n)
	c.failed = c.failed || err != nil
	c.changed.Broadcast()
	for err != nil && c.sent > c.begun && !c.closed {
		c.changed.Wait()
	}
	return n, err
}

// Close implements io.Closer.
func (c *clientConn) Close() error {
	c.mu.Lock()
	c.failed, c.closed = true, true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// requestSize returns the number of bytes that net/http sends for a request.
func requestSize(request *http.Request, body []byte) (int64, error) {
	request = request.WithContext(context.Background()) // without the trace
	if request.Body != nil {
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	var size byteCounter
	err := request.Write(&size)
	return int64(size), err
}

// byteCounter counts the bytes that are written to it.
type byteCounter int64

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}
