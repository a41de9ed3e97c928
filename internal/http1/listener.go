package http1

import (
	"errors"
	"net"
	"time"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 20 * time.Millisecond

// pausingListener delays the accept loop of nbhttp after an error. The loop itself
// retries without a pause, so it would spin from the close of the listener until the
// engine stops, and as long as the process is out of file descriptors.
type pausingListener struct {
	net.Listener
	// stopped is closed when the server is closed.
	stopped <-chan struct{}
}

// Accept implements net.Listener.
func (l *pausingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && errors.Is(err, net.ErrClosed) {
		<-l.stopped
	}
	if err != nil {
		// The engine ends the loop only some time after Stop was called.
		time.Sleep(acceptPause)
	}
	return conn, err
}
