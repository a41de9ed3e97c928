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
	"gotest.tools/v3/poll"

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

// Guards against answers that are mixed up between streams or truncated at frame
// boundaries.
func TestCallReturnsTheWholeAnswer(t *testing.T) {
	c, addr := start(t, func(_ context.Context, r Incoming) Reply {
		reply := Reply{Head: r.Head, Payload: r.Body}
		if string(r.Head) == "large, with a rest" {
			n := len(r.Body) - dataFrameSize
			reply.Payload, reply.Rest = r.Body[:n], io.NopCloser(bytes.NewReader(r.Body[n:]))
		}
		return reply
	})
	for name, size := range map[string]int{
		"empty": 0, "small": 10, "one frame": dataFrameSize, "large": 5*dataFrameSize + 7, "large, with a rest": maxFrameSize + 2*dataFrameSize,
	} {
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

// busyUplink delays the parts of large answers until their request is canceled.
type busyUplink struct{}

func (busyUplink) Schedule(n int, _ time.Time) time.Duration {
	if n < dataFrameSize {
		return 0
	}
	return time.Hour
}

// Guards against small answers that wait for large ones, and against a stop that does
// not see an answer whose parts wait.
func TestLargeAnswersWaitForTheUplink(t *testing.T) {
	s := &Server{Uplink: busyUplink{}, Handler: func(_ context.Context, r Incoming) Reply { return Reply{Payload: r.Body} }}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	c := &Client{Hello: []byte("n1")}
	defer c.Close()
	large, err := c.Call(t.Context(), s.Addr(), Request{Body: make([]byte, 3*dataFrameSize)})
	assert.NilError(t, err)
	small, err := c.Call(t.Context(), s.Addr(), Request{Body: []byte("small")})
	assert.NilError(t, err)
	body, err := io.ReadAll(small.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "small")
	awaitSending(t, s, 1)
	assert.NilError(t, large.Body.Close())
	awaitSending(t, s, 0)
}

func awaitSending(t *testing.T, s *Server, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.Sending(); n != want {
			return poll.Continue("%d answers are being sent", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a panic of a handler that ends the process or the connection.
func TestPanicEndsOneRequest(t *testing.T) {
	panics := make(chan any, 1)
	s := &Server{Panicked: func(cause any, _ []byte) { panics <- cause }}
	s.Handler = func(_ context.Context, r Incoming) Reply {
		if len(r.Head) == 0 {
			panic("broken")
		}
		return Reply{Head: r.Head}
	}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	defer s.Close()
	c := &Client{Hello: []byte("n1")}
	defer c.Close()
	_, err := c.Call(t.Context(), s.Addr(), Request{})
	assert.ErrorIs(t, err, ErrTruncated)
	assert.Equal(t, <-panics, "broken")
	_, err = c.Call(t.Context(), s.Addr(), Request{Head: []byte("h")})
	assert.NilError(t, err)
	assert.Equal(t, c.Links(), 1)
}

type failingReader struct{ io.Reader }

func (f failingReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if err == io.EOF {
		err = errors.New("read failed")
	}
	return n, err
}

// Guards against a truncated answer that is reported as complete.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	c, addr := start(t, func(context.Context, Incoming) Reply {
		return Reply{Head: []byte("h"), Rest: io.NopCloser(failingReader{bytes.NewReader(make([]byte, 1<<20))})}
	})
	a, err := c.Call(context.Background(), addr, Request{})
	assert.NilError(t, err)
	_, err = io.ReadAll(a.Body)
	assert.ErrorIs(t, err, ErrTruncated)
	assert.NilError(t, a.Body.Close())
}

// Guards against a canceled request that keeps running at the peer.
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

// Guards against reporting ErrNotSent for a request that the peer may have received.
func TestErrorsShowWhetherRequestWasSent(t *testing.T) {
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
		// If the connection were closed right after the hello, it would be lost
		// before the request is sent.
		var f frame
		for err == nil && f.kind != frameOpen {
			f, err = readFrame(conn)
		}
		_ = conn.Close()
	}()
	_, err = lost.Call(context.Background(), silent.Addr().String(), Request{Head: []byte("x")})
	assert.ErrorIs(t, err, ErrConnectionLost)
}

// Guards against waiting for the deadline on a connection that is silently lost.
func TestSilentPeerIsDetected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := &Client{AckTimeout: 50 * time.Millisecond}
	defer c.Close()
	_, err = c.Call(context.Background(), l.Addr().String(), Request{AwaitAck: true})
	assert.ErrorIs(t, err, ErrNoAck)
	_, err = c.Call(context.Background(), l.Addr().String(), Request{})
	assert.ErrorIs(t, err, ErrConnectionLost)
}

// Guards against requests on a silently lost connection: a request that must not be
// retried must not be sent on it, and no later request may use it, since each would
// wait until its timeout.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		request Request
		want    error
	}{
		"request with liveness check":            {Request{Head: []byte("q"), CheckLiveness: true}, ErrNotSent},
		"request that awaits an acknowledgement": {Request{Head: []byte("q"), AwaitAck: true}, ErrNoAck},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			client, addr := start(t, func(context.Context, Incoming) Reply {
				served.Add(1)
				return Reply{Head: []byte("h")}
			})
			client.AckTimeout = 50 * time.Millisecond
			proxy := relay.Relay{Target: addr}
			assert.NilError(t, proxy.StartTCP("127.0.0.1:0"))
			t.Cleanup(proxy.Close)
			call := func() error {
				a, err := client.Call(context.Background(), proxy.TCPAddr(), c.request)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, a.Body) // its last frame counts as a sign of life, too
				return errors.Join(err, a.Body.Close())
			}
			assert.NilError(t, call())
			proxy.SetMode(relay.Silent)
			l := client.links[proxy.TCPAddr()]
			l.mu.Lock()
			l.lastFrame = l.lastFrame.Add(-2 * maxFrameAge)
			l.mu.Unlock()
			assert.ErrorIs(t, call(), c.want)
			assert.Assert(t, proxy.Dropped() > 0)
			assert.NilError(t, call())
			assert.Equal(t, served.Load(), int32(2))
		})
	}
}

// Guards against late acknowledgements that leave no trace, so that a slow peer looks
// like a lost one.
func TestLateAcknowledgementIsReported(t *testing.T) {
	client, addr := start(t, func(ctx context.Context, r Incoming) Reply {
		if string(r.Head) == "long" {
			<-ctx.Done()
		}
		return Reply{Head: []byte("h")}
	})
	late := make(chan time.Duration, 1)
	client.AckTimeout = 20 * time.Millisecond
	client.LateAck = func(_ string, after time.Duration) { late <- after }
	path := relay.Relay{Target: addr}
	assert.NilError(t, path.StartTCP("127.0.0.1:0"))
	t.Cleanup(path.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = client.Call(ctx, path.TCPAddr(), Request{Head: []byte("long")}) }()
	_, err := client.Call(ctx, path.TCPAddr(), Request{Head: []byte("q")})
	assert.NilError(t, err)
	path.SetDelay(50 * time.Millisecond)
	_, err = client.Call(ctx, path.TCPAddr(), Request{Head: []byte("q"), AwaitAck: true})
	assert.ErrorIs(t, err, ErrNoAck)
	assert.Assert(t, <-late > client.AckTimeout)
}

// Guards against losing an answer that comes after the time-out of its acknowledgement,
// and against waiting for a peer that does not react at all.
func TestPendingRequest(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(path *relay.Relay)
		want    error
	}{
		"acknowledged late":  {func(path *relay.Relay) { path.SetDelay(50 * time.Millisecond) }, nil},
		"never acknowledged": {func(path *relay.Relay) { path.SetMode(relay.Silent) }, ErrConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			client, addr := start(t, func(_ context.Context, r Incoming) Reply { return Reply{Payload: r.Body} })
			client.AckTimeout = 20 * time.Millisecond
			path := &relay.Relay{Target: addr}
			assert.NilError(t, path.StartTCP("127.0.0.1:0"))
			t.Cleanup(path.Close)
			first, err := client.Call(t.Context(), path.TCPAddr(), Request{})
			assert.NilError(t, err)
			assert.NilError(t, first.Body.Close())
			c.disturb(path)
			_, err = client.Call(t.Context(), path.TCPAddr(), Request{Body: []byte("body"), AwaitAck: true, KeepOpen: true})
			assert.ErrorIs(t, err, ErrNoAck)
			var pending *Pending
			assert.Assert(t, errors.As(err, &pending))
			answer, err := pending.Await(t.Context())
			assert.ErrorIs(t, err, c.want)
			if err == nil {
				body, err := io.ReadAll(answer.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "body")
				next, err := client.Call(t.Context(), path.TCPAddr(), Request{After: answer})
				assert.NilError(t, err)
				assert.NilError(t, next.Body.Close())
				assert.Equal(t, client.Links(), 0, "the next request went on another connection")
				assert.NilError(t, answer.Body.Close())
			}
			l := pending.stream.link
			l.mu.Lock()
			defer l.mu.Unlock()
			assert.Equal(t, len(l.streams), 0)
		})
	}
}

// Guards against a connection that stays open because its client was closed during the dial.
func TestCloseDuringDial(t *testing.T) {
	near, far := net.Pipe()
	l := newLink()
	l.end(ErrConnectionLost)
	go func() { assert.Check(t, l.start(near, nil) != nil) }()
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against losing answers that have arrived because this process stood still: the
// silence of the connection is then its own.
func TestStalledProcessKeepsItsConnections(t *testing.T) {
	for name, c := range map[string]struct {
		sinceCheck time.Duration
		ended      bool
	}{
		"the peer is silent": {watchInterval, true}, "this process stood still": {2 * silenceTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, addr := start(t, func(ctx context.Context, _ Incoming) Reply {
				<-ctx.Done()
				return Reply{}
			})
			go func() { _, _ = client.Call(t.Context(), addr, Request{}) }()
			l, err := client.link(t.Context(), addr)
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				l.mu.Lock()
				defer l.mu.Unlock()
				if len(l.streams) == 0 {
					return poll.Continue("no request is in flight")
				}
				return poll.Success()
			}, poll.WithDelay(time.Millisecond))
			l.mu.Lock()
			now := time.Now()
			l.lastFrame, l.lastPing, l.lastCheck = now.Add(-2*silenceTimeout), now.Add(-2*silenceTimeout+time.Millisecond), now.Add(-c.sinceCheck)
			l.mu.Unlock()
			l.checkSilence()
			assert.Equal(t, l.closed(), c.ended)
		})
	}
}

// Guards against closing a connection as unused when a request has just been opened on it.
// The request would count as lost, or as not sent although it was.
func TestConnectionInUseIsNotClosed(t *testing.T) {
	client, addr := start(t, func(ctx context.Context, _ Incoming) Reply {
		<-ctx.Done()
		return Reply{}
	})
	l, err := client.link(t.Context(), addr)
	assert.NilError(t, err)
	s, err := l.open(Request{})
	assert.NilError(t, err)
	l.endUnused(ErrNotSent)
	assert.Assert(t, !l.closed())
	l.dropStream(s, true)
	l.endUnused(ErrNotSent)
	assert.Assert(t, l.closed())
	_, err = l.open(Request{})
	assert.ErrorIs(t, err, ErrNotSent)
}
