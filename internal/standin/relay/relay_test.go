package relay

import (
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// openPipe opens a connection through a relay, and returns both of its ends.
func openPipe(t *testing.T) (r *Relay, client, target net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	r = &Relay{Target: listener.Addr().String()}
	assert.NilError(t, r.StartTCP("127.0.0.1:0"))
	t.Cleanup(r.Close)
	client, err = net.Dial("tcp", r.TCPAddr())
	assert.NilError(t, err)
	target, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = target.Close()
	})
	_, err = client.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = target.Read(make([]byte, 1)) // the pipe is known to the relay
	assert.NilError(t, err)
	return r, client, target
}

// Guards against a silent pipe of which one end has closed and the other one is never
// closed, not even with the relay.
func TestSilentPipeIsClosed(t *testing.T) {
	for name, clientFirst := range map[string]bool{"the client closes first": true, "the target closes first": false} {
		for end, closeOther := range map[string]bool{"relay": false, "other end": true} {
			t.Run(name+"/"+end, func(t *testing.T) {
				r, first, other := openPipe(t)
				if !clientFirst {
					first, other = other, first
				}
				r.SetMode(Silent)
				assert.NilError(t, first.Close())
				read := func(timeout time.Duration) error {
					assert.NilError(t, other.SetReadDeadline(time.Now().Add(timeout)))
					_, err := other.Read(make([]byte, 1))
					return err
				}
				assert.ErrorIs(t, read(20*time.Millisecond), os.ErrDeadlineExceeded)
				if closeOther {
					assert.NilError(t, other.Close())
				} else {
					r.Close()
					assert.Assert(t, !os.IsTimeout(read(10*time.Second)), "the connection is open")
				}
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					r.mu.Lock()
					defer r.mu.Unlock()
					if len(r.pipes) > 0 {
						return poll.Continue("%d pipes are open", len(r.pipes))
					}
					return poll.Success()
				}, poll.WithDelay(time.Millisecond))
			})
		}
	}
}
