package http1

import (
	"net"
	"syscall"
)

// resetOnClose makes the close of the connection a reset. nbio may have closed it, and its
// descriptor may belong to another connection by now. So this sets the option on a copy of
// the descriptor, which stays what it is, after a look at its other end.
func (c *conn) resetOnClose() {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return
	}
	fd, err := syscall.Dup(c.Hash()) // nbio returns the descriptor as the hash
	if err != nil {
		return
	}
	defer func() { _ = syscall.Close(fd) }()
	if peer, err := syscall.Getpeername(fd); err == nil && portOf(peer) == remote.Port {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

func portOf(addr syscall.Sockaddr) int {
	switch a := addr.(type) {
	case *syscall.SockaddrInet4:
		return a.Port
	case *syscall.SockaddrInet6:
		return a.Port
	default:
		return -1
	}
}
