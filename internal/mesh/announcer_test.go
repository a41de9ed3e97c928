package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

// Guards against two nodes that start at the same time and never learn of each other,
// and against n² messages when all nodes start.
func TestInformedNodesAreNotNotified(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		first            WriteResult
		position, change uint64
		clock            time.Duration
		want             bool
	}{
		"wrote after this node":                 {WriteResult{Position: 5}, 6, 1, 0, true},
		"wrote before this node":                {WriteResult{Position: 5}, 4, 1, 0, false},
		"wrote again, so read the list earlier": {WriteResult{Position: 5}, 6, 2, 0, false},
		"position of this node not known":       {WriteResult{}, 6, 1, 0, false},
		"entry of an earlier process":           {WriteResult{Position: 5}, 3, 7, 0, false},
		"wrote before, but pauses":              {WriteResult{5, 3000 * ms}, 4, 1, 2500 * ms, true},
		"wrote again while it pauses":           {WriteResult{5, 3000 * ms}, 6, 2, 2500 * ms, true},
		"its pause was over":                    {WriteResult{5, 3000 * ms}, 4, 1, 1900 * ms, false},
		"clock of this node not known":          {WriteResult{Position: 5}, 4, 1, 2500 * ms, false},
		"did not start with the whole system":   {WriteResult{5, 500 * ms}, 4, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := &announcer{first: c.first}
			m := Member{Entry: roster.Entry{Node: "n1", Change: c.change, Clock: c.clock}, Position: c.position}
			assert.Equal(t, a.informed([]Member{m})["n1"], c.want)
		})
	}
}

// versionRegistry decodes a configuration that is only a version.
type versionRegistry struct{ Registry }

// Decode implements Registry.
func (versionRegistry) Decode(raw []byte) (*route.Document, error) {
	return &route.Document{Version: uint64(raw[0])}, nil
}

// Guards against a node that stays unreachable, and gets neither entries nor
// configurations, because the path to it is slower than the wait for an acknowledgement.
func TestMessagesOutliveLateAcknowledgements(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, a *announcer, to roster.Entry) error{
		"probe": func(ctx context.Context, a *announcer, to roster.Entry) error {
			prober{a}.probe(ctx, to)
			return nil
		},
		"entry": func(ctx context.Context, a *announcer, to roster.Entry) error {
			a.pending = map[string]int{to.Node: 1}
			a.notify(ctx, to.Node)
			return nil
		},
		"configuration":         func(ctx context.Context, a *announcer, to roster.Entry) error { return a.fetchFrom(ctx, to) },
		"relayed configuration": func(ctx context.Context, a *announcer, to roster.Entry) error { return a.fetchNext(ctx, to) },
	} {
		t.Run(name, func(t *testing.T) {
			far := &Node{Options: Options{Node: "n1", Log: &log.Logger{Handler: discard.New()}}}
			far.assemble()
			far.follower.apply(document(2), "test")
			assert.NilError(t, far.peerServer.Listen("127.0.0.1:0"))
			t.Cleanup(far.peerServer.Close)
			path := &relay.Relay{Target: far.peerServer.Addr(), Delay: 30 * time.Millisecond}
			assert.NilError(t, path.StartTCP("127.0.0.1:0"))
			t.Cleanup(path.Close)
			to := newEntry("n1", 2)
			to.Addr = path.TCPAddr()
			far.announcer.mu.Lock()
			far.announcer.own = to
			far.announcer.mu.Unlock()

			a := &announcer{Options: &Options{Registry: versionRegistry{}}, directory: newDirectory(), follower: newFollower(versionRegistry{}), peers: &peer.Client{AckTimeout: 20 * time.Millisecond}}
			a.Options.Log, a.own = a.directory.Log, newEntry("n0", 1)
			t.Cleanup(a.peers.Close)
			a.directory.merge([]roster.Entry{to}, epoch)
			a.directory.markUnreachable("n1", errors.New("x"), epoch)
			assert.NilError(t, send(t.Context(), a, to))
			assert.Assert(t, !a.directory.servers("s", nil)[0].Unreachable)
			assert.Equal(t, len(a.pending), 0)
			poll.WaitOn(t, func(poll.LogT) poll.Result { // fetched in the background after a probe
				if v := a.follower.version(); v < 2 {
					return poll.Continue("version %d", v)
				}
				return poll.Success()
			})
		})
	}
}
