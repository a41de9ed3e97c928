package http1

import (
	"errors"
	"net"
	"time"
)

// acceptPause is the pause after a failed accept.
const acceptPause = 20 * time.Millisecond

// patientListener holds up the accepting goroutine of nbhttp after an error. By
// itself that goroutine tries again without a pause: until the engine stops after
// the listener was closed, and for as long as the process is out of descriptors.
type patientListener struct {
	net.Listener
	// stopped is closed with the server.
	stopped <-chan struct{}
}

// Accept implements net.Listener.
func (l *patientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && errors.Is(err, net.ErrClosed) {
		<-l.stopped
	}
	if err != nil {
		// The engine ends the loop only some time after it was told to stop.
		time.Sleep(acceptPause)
	}
	return conn, err
}
