package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

// countingRegistry counts the configurations that are decoded.
type countingRegistry struct {
	versionRegistry
	decoded atomic.Int32
}

// Decode implements Registry.
func (r *countingRegistry) Decode(raw []byte) (*route.Document, error) {
	r.decoded.Add(1)
	return r.versionRegistry.Decode(raw)
}

// slowUplink is a link that takes a time for each part of an answer.
type slowUplink time.Duration

// Schedule implements peer.Uplink.
func (u slowUplink) Schedule(int, time.Time) time.Duration { return time.Duration(u) }

// newFetch returns a node with version 1 and the entry of one with the given configuration,
// which is sent over a link.
func newFetch(t *testing.T, raw []byte, link peer.Uplink) (a *announcer, decoded *atomic.Int32, to roster.Entry) {
	far := &Node{Options: Options{Node: "n1", Fresh: true, Log: &log.Logger{Handler: discard.New()}}}
	far.assemble()
	far.runCtx = t.Context()
	v := document(2)
	v.Raw = raw
	far.follower.apply(v, "test")
	far.peerServer.Uplink = link
	assert.NilError(t, far.peerServer.Listen("127.0.0.1:0"))
	t.Cleanup(far.peerServer.Close)
	to = newEntry("n1", 2)
	to.Addr = far.peerServer.Addr()
	registry := &countingRegistry{}
	a = &announcer{Options: &Options{Registry: registry}, directory: newDirectory(), follower: newFollower(registry), peers: &peer.Client{}}
	a.Options.Log, a.own = a.directory.Log, newEntry("n0", 1)
	t.Cleanup(a.peers.Close)
	a.follower.apply(document(1), "test")
	a.directory.merge([]roster.Entry{to}, epoch)
	return a, &registry.decoded, to
}

// Guards against a configuration that is decoded once for each node that sends it.
func TestVersionIsDecodedOnce(t *testing.T) {
	for name, fetchTwice := range map[string]func(fetch func()){
		"one after the other": func(fetch func()) { fetch(); fetch() },
		"at the same time": func(fetch func()) {
			var wg sync.WaitGroup
			wg.Go(fetch)
			wg.Go(fetch)
			wg.Wait()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, decoded, to := newFetch(t, []byte{2}, nil)
			fetchTwice(func() { assert.Check(t, a.fetchFrom(t.Context(), to)) })
			assert.Equal(t, a.follower.version(), uint64(2))
			assert.Equal(t, decoded.Load(), int32(1))
		})
	}
}

// Guards against a long configuration that is broken off and begun again for as long as the
// link of the other node is busy.
func TestFetchOutlivesBusyLink(t *testing.T) {
	raw := make([]byte, 200<<10)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range raw {
		raw[i] = byte(random.Uint32()) // does not compress
	}
	raw[0] = 2
	a, _, to := newFetch(t, raw, slowUplink(150*time.Millisecond))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, a.fetchFrom(ctx, to))
	assert.Equal(t, a.follower.version(), uint64(2))
}

// Guards against a relay whose registry keeps silent, and that stays behind although the
// nodes that follow it have a newer configuration.
func TestRelayLearnsFromItsFollowers(t *testing.T) {
	a, _, follower := newFetch(t, []byte{2}, nil)
	n := &Node{Options: Options{Node: "n0", Registry: versionRegistry{}, Log: a.Log}}
	n.assemble()
	n.runCtx = t.Context()
	t.Cleanup(n.peers.Close)
	n.follower.apply(document(1), "test")
	n.directory.merge([]roster.Entry{follower}, epoch)
	version := uint64(2)
	head, err := encode(message{Follow: &version})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		n.answer(ctx, peer.Incoming{From: []byte("n1"), Head: head})
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v := n.follower.version(); v < 2 {
			return poll.Continue("version %d", v)
		}
		return poll.Success()
	})
	cancel()
	<-answered
}

// Guards against a node that goes on handling requests by an old configuration while other
// nodes tell it of a newer one that it does not get.
func TestOutdatedNodeRefuses(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		since, sign time.Duration
		bound       time.Duration
		kind        fault.Kind
	}{
		"behind for too long":  {2500 * time.Millisecond, 0, 3 * time.Second, fault.KindStopped},
		"behind for a moment":  {500 * time.Millisecond, 0, 3 * time.Second, fault.KindNotFound},
		"not told any more":    {30 * time.Second, 20 * time.Second, 3 * time.Second, fault.KindNotFound},
		"no bound is in force": {30 * time.Second, 0, 0, fault.KindNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{Options: Options{Node: "n0", Bounds: Bounds{Apply: c.bound}, Log: &log.Logger{Handler: discard.New()}}}
			n.assemble()
			n.follower.apply(document(1), "test")
			n.follower.lag.Seen(2, now.Add(-c.since))
			n.follower.lag.Seen(2, now.Add(-c.sign))
			_, err := n.Serve(t.Context(), call.Request{ID: "r", Host: "h", URI: "/"})
			assert.Assert(t, fault.Is(err, c.kind), "%v", err)
			if c.kind == fault.KindStopped {
				assert.Equal(t, fault.As(err).Status, http.StatusServiceUnavailable)
				assert.Equal(t, fault.As(err).Outcome, fault.Refused)
				assert.Assert(t, fault.As(err).Wait > 0)
			}
			n.follower.apply(document(2), "test")
			_, err = n.Serve(t.Context(), call.Request{ID: "r", Host: "h", URI: "/"})
			assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
		})
	}
}

// rejectingRegistry rejects every configuration.
type rejectingRegistry struct{ Registry }

// Decode implements Registry.
func (rejectingRegistry) Decode([]byte) (*route.Document, error) {
	return nil, fault.New(fault.KindBadRequest, "not valid")
}

// Guards against a node that refuses all requests because it waits for a version that its
// release rejects.
func TestRejectedVersionIsNotWaitedFor(t *testing.T) {
	a, _, to := newFetch(t, []byte{2}, nil)
	a.follower.Registry, a.Registry = rejectingRegistry{}, rejectingRegistry{}
	a.follower.seen(2, "n1")
	assert.Assert(t, a.fetchFrom(t.Context(), to) != nil)
	assert.Equal(t, a.follower.lag.Behind(time.Now().Add(time.Hour)), time.Duration(0))
	a.follower.seen(2, "n1")
	assert.Equal(t, a.follower.lag.Behind(time.Now().Add(time.Hour)), time.Duration(0))
}
