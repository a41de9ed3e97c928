package backend

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/tcp"
)

// serverConn is one connection to the server.
type serverConn struct {
	tcp.Conn
	reader *bufio.Reader
	// headerLeft is the number of bytes that may still be read for a header. A
	// negative value means no limit.
	headerLeft int
	// head scans the head that is being read.
	head headScanner
	// expires is the time after which the connection must not be reused.
	expires   time.Time
	idleSince time.Time
	// mustClose is set if the connection must be closed after the answer.
	mustClose bool
}

func newServerConn(conn net.Conn, partTimeout time.Duration) *serverConn {
	c := &serverConn{Conn: tcp.Conn{Conn: conn, Timeout: partTimeout}, headerLeft: -1}
	c.reader = bufio.NewReaderSize(c, 4<<10)
	return c
}

// Read implements io.Reader. It limits the length of a header, which net/http's
// ReadResponse does not.
func (c *serverConn) Read(p []byte) (int, error) {
	if c.headerLeft < 0 {
		return c.Conn.Read(p)
	}
	if c.headerLeft == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headerLeft)])
	c.headerLeft -= n
	c.head.scan(p[:n])
	return n, err
}

var (
	errHeaderTooLarge = errors.New("the header of the answer is over the limit")
	errInterimOnly    = errors.New("the server sent interim answers only")
)

// readHead reads the head of an answer, final or interim. The caller calls Next after the
// last byte that is subject to the same time limit.
func (c *serverConn) readHead(request *http.Request) (*http.Response, error) {
	c.Next()
	if c.reader.Buffered() > 0 {
		c.Begin()
	}
	arrived, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head.begin(arrived)
	c.headerLeft = maxHeader
	response, err := http.ReadResponse(c.reader, request)
	c.headerLeft = -1
	if err == nil && !call.IsInterim(response.StatusCode) {
		err = call.CheckStatus(response.StatusCode)
	}
	if err == nil {
		err = checkHead(response, &c.head)
	}
	return response, err
}

// readAnswer reads the head of the next final answer. The body of the answer ends with
// io.EOF only if it is whole.
func (c *serverConn) readAnswer(request *http.Request, sent *sending) (*http.Response, error) {
	for range maxSkipped {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if call.IsInterim(response.StatusCode) {
			continue
		}
		unframed := endsWithConn(response)
		response.Body = &trailedBody{response.Body, response}
		if unframed {
			response.Body = &unframedBody{response.Body, sent}
		}
		return response, nil
	}
	return nil, errInterimOnly
}

// clean reports whether nothing has arrived on an idle connection: neither the
// server's close nor bytes that belong to no request.
func (c *serverConn) clean() bool {
	conn, ok := c.Conn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		clean = err == syscall.EAGAIN
		return true
	})
	return err == nil && clean
}
