package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/standin/relay"
)

func start(t *testing.T, h Handler) (*Client, string) {
	t.Helper()
	s := &Server{Handler: h}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	c := &Client{Hello: []byte("n1")}
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c, s.Addr()
}

// Guards against answers that are mixed between streams or cut at frame borders.
func TestCallReturnsTheWholeAnswer(t *testing.T) {
	c, addr := start(t, func(_ context.Context, r Incoming) Reply {
		return Reply{Head: r.Head, Whole: r.Body}
	})
	for name, size := range map[string]int{"empty": 0, "small": 10, "one frame": dataFrame, "large": 5*dataFrame + 7} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte(name), size/len(name)+1)[:size]
			a, err := c.Call(context.Background(), addr, Request{Head: []byte(name), Body: body})
			assert.NilError(t, err)
			got, err := io.ReadAll(a.Body)
			assert.NilError(t, err)
			assert.NilError(t, a.Body.Close())
			assert.Equal(t, string(a.Head), name)
			assert.Assert(t, bytes.Equal(got, body))
		})
	}
	assert.Equal(t, c.Links(), 1)
}

type failingReader struct{ io.Reader }

func (f failingReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("server broke off")
	}
	return n, err
}

// Guards against a truncated answer that looks complete.
func TestCutAnswerIsAnError(t *testing.T) {
	c, addr := start(t, func(context.Context, Incoming) Reply {
		return Reply{Head: []byte("h"), Rest: io.NopCloser(failingReader{bytes.NewReader(make([]byte, 1<<20))})}
	})
	a, err := c.Call(context.Background(), addr, Request{})
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.ErrorIs(t, err, ErrCut)
	assert.NilError(t, a.Body.Close())
}

// Guards against work that goes on after the caller has left.
func TestCancelReachesTheHandler(t *testing.T) {
	canceled := make(chan struct{})
	c, addr := start(t, func(ctx context.Context, _ Incoming) Reply {
		<-ctx.Done()
		close(canceled)
		return Reply{}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := c.Call(ctx, addr, Request{})
	assert.ErrorIs(t, err, context.Canceled)
	<-canceled
}

// Guards against calling a request unsent that a peer may have.
func TestErrorsTellWhetherTheRequestLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	c := &Client{}
	_, err = c.Call(context.Background(), closed, Request{})
	assert.ErrorIs(t, err, ErrNotSent)

	lost, addr := start(t, nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer silent.Close()
	_ = addr
	go func() {
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		// Closed after the hello alone, the connection would be lost before the
		// request left.
		var f frame
		for err == nil && f.kind != frameOpen {
			f, err = readFrame(conn)
		}
		_ = conn.Close()
	}()
	_, err = lost.Call(context.Background(), silent.Addr().String(), Request{Head: []byte("x")})
	assert.ErrorIs(t, err, ErrLost)
}

// Guards against waiting for the deadline on a connection that went silent.
func TestSilentPeerIsNoticed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := &Client{Patience: 50 * time.Millisecond}
	defer c.Close()
	_, err = c.Call(context.Background(), l.Addr().String(), Request{Impatient: true})
	assert.ErrorIs(t, err, ErrSilent)
	_, err = c.Call(context.Background(), l.Addr().String(), Request{})
	assert.ErrorIs(t, err, ErrLost)
}

// Guards against a connection that has gone silent: a request that may not be
// repeated must not be lost in it, and no later request may use it, since each
// would wait for nothing again.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		request Request
		want    error
	}{
		"request that must be known to be sent": {Request{Head: []byte("q"), Sure: true}, ErrNotSent},
		"request that can go elsewhere":         {Request{Head: []byte("q"), Impatient: true}, ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			client, addr := start(t, func(context.Context, Incoming) Reply {
				served.Add(1)
				return Reply{Head: []byte("h")}
			})
			client.Patience = 50 * time.Millisecond
			path := relay.Relay{Target: addr}
			assert.NilError(t, path.StartTCP("127.0.0.1:0"))
			t.Cleanup(path.Close)
			call := func() error {
				a, err := client.Call(context.Background(), path.TCPAddr(), c.request)
				if err == nil {
					err = a.Body.Close()
				}
				return err
			}
			assert.NilError(t, call())
			path.SetMode(relay.Silent)
			l := client.links[path.TCPAddr()]
			l.mu.Lock()
			l.heard = l.heard.Add(-2 * signTime)
			l.mu.Unlock()
			assert.ErrorIs(t, call(), c.want)
			assert.Assert(t, path.Dropped() > 0)
			assert.NilError(t, call())
			assert.Equal(t, served.Load(), int32(2))
		})
	}
}

// FuzzReadFrame checks that no bytes of a peer break a node or take memory for a
// length that they only claim.
func FuzzReadFrame(f *testing.F) {
	f.Add(append(appendHeader(nil, frameOpen, 1, 2), "hi"...))
	f.Add(appendHeader(nil, frameData, 1, maxFrame+1))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bytes.NewReader(raw)
		for {
			got, err := readFrame(r)
			if err != nil {
				return
			}
			assert.Assert(t, len(got.payload) <= len(raw))
		}
	})
}
