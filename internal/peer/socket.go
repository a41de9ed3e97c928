package peer

import (
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent data may stay unacknowledged by the remote host
	// before the kernel closes the connection.
	userTimeout = 2 * time.Second
	// writeTimeout is how long a peer may keep its receive window closed.
	writeTimeout = 2 * time.Second
	// tcpUserTimeout is the option's number on Linux (RFC 5482).
	tcpUserTimeout = 18
)

// socket serializes the writes of all streams of a connection.
type socket struct {
	net.Conn
	mu sync.Mutex
}

func newSocket(c net.Conn) *socket {
	if tcp, ok := c.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				// Without kernel support for the option, the pings detect the loss.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		}
	}
	return &socket{Conn: c}
}

// send writes the buffers without interleaving other writes. On an error it closes
// the connection, because part of a frame may have been written.
func (s *socket) send(parts net.Buffers) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := parts.WriteTo(s.Conn); err != nil {
		_ = s.Close()
		return err
	}
	return nil
}

func (s *socket) frame(kind byte, stream uint32, payload []byte) error {
	buf := appendHeader(make([]byte, 0, frameHeaderSize+len(payload)), kind, stream, len(payload))
	return s.send(net.Buffers{append(buf, payload...)})
}
