package backend

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/vanillasail/vanillasail/internal/tcp"
)

// usedConn is the connection that net/http uses for a request.
type usedConn struct {
	// conn is nil until there is a connection.
	conn atomic.Pointer[clientConn]
	// received is the number of bytes that conn had read before the request.
	received atomic.Int64
}

// set is an httptrace.ClientTrace.GotConn.
func (u *usedConn) set(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*clientConn); ok {
		conn.begin()
		u.received.Store(conn.Received())
		u.conn.Store(conn)
	}
}

// interim is an httptrace.ClientTrace.Got1xxResponse. With one, net/http does not limit
// the interim answers.
func (u *usedConn) interim(_ int, header textproto.MIMEHeader) error {
	conn := u.conn.Load()
	if err := conn.interimEnded(http.Header(header)); err != nil {
		return err
	}
	conn.Next() // the server may work for long before the next answer
	if conn.Received()-u.received.Load() > maxHeader {
		return errHeaderTooLarge
	}
	return nil
}

// pacedBody limits the time of the bytes between two bytes of a body, such as those of a
// chunk extension or a trailer. The body itself may be slow.
type pacedBody struct {
	io.ReadCloser
	conn *tcp.Conn
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 || err != nil {
		b.conn.Next()
	}
	return n, err
}
