package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the idle time-out that nbhttp sets on a connection after its poller
// has started to read from it, which may be after the first request has begun.
func TestFirstRequestsOutlastIdleTimeout(t *testing.T) {
	const callers = 200
	// A caller may be late with its first request for as long on a busy machine.
	s := &Server{Limits: Limits{IdleTimeout: time.Second}}
	release := make(chan struct{})
	s.Handler = func(context.Context, *http.Request, []byte) *http.Response {
		<-release
		return Text(http.StatusOK, "late")
	}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	time.AfterFunc(2*s.Limits.IdleTimeout, func() { close(release) })
	var group sync.WaitGroup
	errs := make(chan error, callers)
	for range callers {
		group.Go(func() { errs <- request(s.Addr()) })
	}
	group.Wait()
	for range callers {
		assert.NilError(t, <-errs)
	}
}

func request(addr string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against nbio's Stop, which waits forever for a poller that starts after Stop
// was called.
func TestCloseRightAfterListen(t *testing.T) {
	for range 50 {
		s := &Server{Handler: echo}
		assert.NilError(t, s.Listen("127.0.0.1:0"))
		closed := make(chan struct{})
		go func() {
			s.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the server does not close")
		}
	}
}
