package node

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// calls adapts a function to call.Server.
type calls func(ctx context.Context, r call.Request) (*call.Answer, error)

func (f calls) Serve(ctx context.Context, r call.Request) (*call.Answer, error) { return f(ctx, r) }

func authority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test", time.Hour)
	assert.NilError(t, err)
	return a
}

func credentials(t *testing.T, a *Authority, trusted ...[]byte) *Credentials {
	t.Helper()
	cert, key, err := a.Issue("node", time.Hour)
	assert.NilError(t, err)
	c := &Credentials{}
	assert.NilError(t, c.Replace(cert, key, bytes.Join(append(trusted, a.CertPEM), nil)))
	return c
}

func listen(t *testing.T, id string, c *Credentials, s call.Server) *Transport {
	t.Helper()
	tr := &Transport{ID: id, Calls: s, MaxBody: 1 << 20, Credentials: c}
	start(t, tr)
	return tr
}

// start makes a transport listen until the test ends. Its fields must not change
// afterwards.
func start(t *testing.T, tr *Transport) {
	t.Helper()
	assert.NilError(t, tr.Listen("127.0.0.1:0"))
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = tr.Close(ctx)
	})
}

func echo(_ context.Context, r call.Request) (*call.Answer, error) {
	return &call.Answer{Status: 200, Length: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body))}, nil
}

// noStatus returns an answer that is none in HTTP.
func noStatus(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

func peerOf(t *Transport) Peer { return Peer{ID: t.ID, Addr: t.Addr()} }

// Guards against corrupted or truncated answers between nodes that are reported as
// successes.
func TestCall(t *testing.T) {
	a := authority(t)
	big := bytes.Repeat([]byte("0123456789"), 80_000)
	cases := map[string]struct {
		body    []byte
		serve   calls
		kind    fault.Kind
		outcome fault.Outcome
	}{
		"empty":        {serve: echo},
		"large":        {body: big, serve: echo},
		"refused":      {serve: refuseAll, kind: fault.KindOverloaded, outcome: fault.Refused},
		"cut short":    {serve: cutShort, kind: fault.KindCutShort, outcome: fault.Unknown},
		"too short":    {serve: tooShort, kind: fault.KindCutShort, outcome: fault.Unknown},
		"body limit":   {body: bytes.Repeat(big, 2), serve: echo, kind: fault.KindTooLarge, outcome: fault.Refused},
		"no status":    {serve: noStatus, kind: fault.KindCutShort, outcome: fault.Unknown},
		"head limit":   {serve: hugeHeader, kind: fault.KindUnreachable, outcome: fault.Unknown},
		"panic":        {serve: func(context.Context, call.Request) (*call.Answer, error) { panic("broken") }, kind: fault.KindUnreachable, outcome: fault.Unknown},
		"server error": {serve: func(context.Context, call.Request) (*call.Answer, error) { return nil, io.ErrUnexpectedEOF }, kind: fault.KindInternal, outcome: fault.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := listen(t, "near", credentials(t, a), nil), listen(t, "far", credentials(t, a), tc.serve)
			got, err := exchange(near, far, tc.body)
			if tc.kind != "" {
				f := fault.As(err)
				assert.Equal(t, f.Kind, tc.kind, f.Detail)
				assert.Equal(t, f.Outcome, tc.outcome)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, tc.body))
		})
	}
}

// Guards against request bodies that take unbounded memory at the remote node, and
// against memory that is not released after a request.
func TestHeldBodiesAreBounded(t *testing.T) {
	a := authority(t)
	near := listen(t, "near", credentials(t, a), nil)
	far := &Transport{ID: "far", Credentials: credentials(t, a), MaxBody: 1 << 20, Bodies: &call.BodyMemory{Max: 1000}}
	far.Calls = calls(func(ctx context.Context, r call.Request) (*call.Answer, error) {
		if len(r.Body) == 600 {
			_, err := exchange(near, far, make([]byte, 500))
			return nil, err
		}
		return echo(ctx, r)
	})
	start(t, far)
	_, err := exchange(near, far, make([]byte, 600))
	assert.Equal(t, fault.As(err).Kind, fault.KindOverloaded)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := far.Bodies.Held(); n != 0 {
			return poll.Continue("%d bytes are held", n)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	_, err = exchange(near, far, make([]byte, 1000))
	assert.NilError(t, err)
}

func exchange(near, far *Transport, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, err := near.Call(ctx, peerOf(far), call.Request{ID: "1", Body: body})
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	return io.ReadAll(answer.Body)
}

func refuseAll(context.Context, call.Request) (*call.Answer, error) {
	return nil, fault.New(fault.KindOverloaded, "full")
}

func cutShort(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Status: 200, Length: -1, Body: io.NopCloser(io.MultiReader(bytes.NewReader([]byte("part")), brokenReader{}))}, nil
}

func tooShort(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Status: 200, Length: 10, Body: io.NopCloser(bytes.NewReader([]byte("part")))}, nil
}

func hugeHeader(context.Context, call.Request) (*call.Answer, error) {
	return &call.Answer{Status: 200, Header: map[string][]string{"X": {string(make([]byte, maxHeadSize))}}, Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a graceful shutdown that loses an answer in transit, or that leaves
// it unknown whether a late request was run.
func TestCloseLosesNoRequest(t *testing.T) {
	a := authority(t)
	for range 3 {
		near := listen(t, "near", credentials(t, a), nil)
		far := listen(t, "far", credentials(t, a), calls(echo))
		var answered atomic.Int32
		var closed atomic.Bool
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for done := false; !done; {
					done = closed.Load()
					_, err := exchange(near, far, []byte("body"))
					if err == nil {
						answered.Add(1)
					} else if f := fault.As(err); f.Outcome != fault.Refused {
						t.Error(f)
						return
					}
				}
			})
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if answered.Load() < 100 {
				return poll.Continue("%d answers", answered.Load())
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
		_ = far.Close(t.Context())
		closed.Store(true)
		wg.Wait()
	}
}

// Guards against a shutdown that refuses the calls of a request which was accepted
// before.
func TestAcceptedRequestMayCallDuringClose(t *testing.T) {
	a := authority(t)
	next := listen(t, "next", credentials(t, a), calls(echo))
	near := listen(t, "near", credentials(t, a), nil)
	started, proceed := make(chan struct{}), make(chan struct{})
	far := &Transport{ID: "far", Credentials: credentials(t, a), MaxBody: 1 << 20}
	far.Calls = calls(func(ctx context.Context, r call.Request) (*call.Answer, error) {
		close(started)
		<-proceed
		return far.Call(ctx, peerOf(next), r)
	})
	start(t, far)
	go func() {
		<-started
		go func() { _ = far.Close(context.Background()) }()
		for closed := false; !closed; time.Sleep(time.Millisecond) {
			far.mu.Lock()
			closed = far.closed
			far.mu.Unlock()
		}
		close(proceed)
	}()
	got, err := exchange(near, far, []byte("body"))
	assert.NilError(t, err)
	assert.Equal(t, string(got), "body")
}

// Guards against a canceled request that keeps running at the remote node.
func TestCancelReachesTheFarNode(t *testing.T) {
	a := authority(t)
	started, ended := make(chan struct{}), make(chan struct{})
	far := listen(t, "far", credentials(t, a), calls(func(ctx context.Context, _ call.Request) (*call.Answer, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}))
	near := listen(t, "near", credentials(t, a), nil)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := near.Call(ctx, peerOf(far), call.Request{})
	assert.ErrorContains(t, err, "deadline")
	<-ended
}

// Guards against accepting a peer whose certificate is untrusted or missing, and
// against a certificate rotation that requires a restart.
func TestUntrustedPeersAndCertificateRotation(t *testing.T) {
	old, next := authority(t), authority(t)
	far := listen(t, "far", credentials(t, old), calls(echo))
	untrusted := listen(t, "untrusted", credentials(t, next, old.CertPEM), nil)
	_, err := exchange(untrusted, far, nil)
	assert.Assert(t, err != nil, "a certificate of an unknown authority was accepted")

	cert, key, err := old.Issue("far", time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, far.Credentials.Replace(cert, key, append(old.CertPEM, next.CertPEM...)))
	rotated := listen(t, "rotated", credentials(t, next, old.CertPEM), nil)
	_, err = exchange(rotated, far, []byte("x"))
	assert.NilError(t, err)

	_, err = quic.DialAddr(context.Background(), far.Addr(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}}, nil)
	if err == nil {
		_, err = exchange(listen(t, "none", &Credentials{}, nil), far, nil)
	}
	assert.Assert(t, err != nil, "a peer without a certificate was served")
}

// Guards against using a link on which all packets are lost, and against closing a
// link because the remote server is slow or this process was paused.
func TestSilentLinkIsReplaced(t *testing.T) {
	a := authority(t)
	release := make(chan struct{})
	far := listen(t, "far", credentials(t, a), calls(func(ctx context.Context, r call.Request) (*call.Answer, error) {
		if r.ID == "slow" {
			<-release
		}
		return echo(ctx, r)
	}))
	near := listen(t, "near", credentials(t, a), nil)
	proxy := &relay.Relay{Target: far.Addr()}
	assert.NilError(t, proxy.StartUDP("127.0.0.1:0"))
	defer proxy.Close()
	relayed := Peer{ID: "far", Addr: proxy.UDPAddr()}

	slow := make(chan error, 1)
	go func() {
		_, err := near.Call(context.Background(), relayed, call.Request{ID: "slow"})
		slow <- err
	}()
	l := awaitLink(t, near)
	now := time.Now()
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		near.Tick(now)
		awaitPackets(t, l)
	}
	assert.Assert(t, l.current().Context().Err() == nil, "a slow server's link was closed")
	// Simulates a pause of this process, which must not count as silence of the peer.
	now = now.Add(10 * time.Second)
	near.Tick(now)
	assert.Assert(t, l.current() != nil, "a link was closed after a pause of this process")

	proxy.SetMode(relay.Silent)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		now = now.Add(100 * time.Millisecond)
		near.Tick(now)
		select {
		case err := <-slow:
			if fault.Is(err, fault.KindUnreachable) {
				return poll.Success()
			}
			return poll.Error(err)
		default:
			return poll.Continue("the request is still pending")
		}
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(50*time.Millisecond))
	assert.Assert(t, proxy.Dropped() > 0)
	close(release)
}

func awaitLink(t *testing.T, tr *Transport) (found *link) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, l := range tr.snapshot() {
			if l.current() != nil && l.inFlight.Load() > 0 {
				found = l
				return poll.Success()
			}
		}
		return poll.Continue("no link")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	return found
}

// awaitPackets waits for the acknowledgement of a ping that Tick sent.
func awaitPackets(t *testing.T, l *link) {
	t.Helper()
	if l.pingSent.IsZero() {
		return
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.current().ConnectionStats().PacketsReceived > l.packetCount {
			return poll.Success()
		}
		return poll.Continue("no packet")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// FuzzReadHead guards against a panic or an unbounded allocation on malformed input
// from a peer.
func FuzzReadHead(f *testing.F) {
	packet, err := appendHead(nil, requestHead{From: "n1", Call: &call.Request{ID: "1"}})
	assert.NilError(f, err)
	f.Add(packet)
	f.Add([]byte{frameHead, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request requestHead
		_ = readHead(bytes.NewReader(data), &request)
		var answer answerHead
		_ = readHead(bytes.NewReader(data), &answer)
	})
}
