package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Guards against a node that misses a change for good because it could not be reached
// when a relay passed the change on, or because it is of an older version, and against
// other nodes that are told late because of it.
func TestEntriesWaitForUnreachableNodes(t *testing.T) {
	for name, older := range map[string]bool{"same version": false, "older version": true} {
		t.Run(name, func(t *testing.T) {
			d := newDispatch(t)
			got := make(chan roster.Entry, 10)
			s := &peer.Server{Handler: func(_ context.Context, in peer.Incoming) peer.Reply {
				m, err := decodeMessage(in.Head)
				assert.Check(t, err)
				reply := response{}
				switch {
				case m.Update != nil:
					got <- m.Update.Entry
				case older:
					reply.Fault = fault.New(fault.KindBadRequest, "message of a peer contains no request")
				default:
					got <- m.Entries[0]
				}
				head, err := encode(reply)
				assert.Check(t, err)
				return peer.Reply{Head: head}
			}}
			assert.NilError(t, s.Listen("127.0.0.1:0"))
			addr := s.Addr()
			s.Close()
			d.directory.merge([]roster.Entry{
				{Node: "near", Start: 1, Addr: addr, Domain: "d", Region: d.Region, Service: "s"},
				{Node: "far", Start: 1, Change: 1, Addr: "127.0.0.1:1", Domain: "d", Region: "other", Service: "s"},
			}, time.Now())
			far, _ := d.directory.entry("far")
			r := entryRelay{announcer: &announcer{Options: d.Options, directory: d.directory, follower: newFollower(nil), peers: d.peers}}
			r.add(t.Context(), far)
			isDue := func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return !r.due.IsZero() && len(r.waiting["near"]) > 0 && time.Until(r.due) > minPassInterval
			}
			for !isDue() {
				time.Sleep(time.Millisecond)
			}
			far.Change = 2
			d.directory.merge([]roster.Entry{far}, time.Now())
			r.add(t.Context(), far)
			assert.Assert(t, !isDue(), "an entry waits for the next attempt at a node that cannot be reached")
			again := &peer.Server{Handler: s.Handler}
			assert.NilError(t, again.Listen(addr))
			t.Cleanup(again.Close)
			assert.Equal(t, <-got, far, "not the newest entry")
		})
	}
}

// Guards against a directory that keeps nodes of other regions which are gone, and against
// requests to a node that was forgotten and that another node still knows.
func TestNodesThatAreGoneAreForgotten(t *testing.T) {
	d := newDispatch(t)
	gone := roster.Entry{Node: "gone", Start: 1, Addr: "127.0.0.1:1", Domain: "d", Region: "other", Service: "s", Server: "i", State: roster.Ready}
	now := time.Now()
	d.directory.merge([]roster.Entry{gone}, now)
	_, unknown := (&roster.Roster{}).Compare("other", d.directory.marks("other"))
	a := announcer{Options: d.Options, directory: d.directory, follower: newFollower(nil), peers: d.peers}
	a.checkUnknown(t.Context(), "other", unknown)
	for len(d.directory.marked("other", unknown)) > 0 {
		time.Sleep(time.Millisecond) // until it counts as unreachable
	}
	_, lost := d.directory.dueProbes(now.Add(time.Hour))
	assert.Equal(t, len(lost), 1)
	d.directory.remove(gone.Node)
	gone.Change = 1
	a.receiveEntries([]roster.Entry{gone})
	_, known := d.directory.entry(gone.Node)
	assert.Assert(t, known)
	assert.Equal(t, len(d.directory.marked("other", d.directory.marks("other"))), 0, "it gets requests before it has answered")
	gone.Start = 2
	a.receiveEntries([]roster.Entry{gone})
	assert.Equal(t, len(d.directory.marked("other", d.directory.marks("other"))), 1, "a process that has started gets no requests")
}

// Guards against traffic between regions that grows with the square of the nodes, because
// each node tells every other one of its changes, and against nodes that are told by nobody
// because the relays of their region refuse.
func TestOtherRegionsAreToldThroughRelays(t *testing.T) {
	for name, c := range map[string]struct {
		nodes       int
		passOn      bool
		direct, far int // how many nodes of the own and of the other region are told by the node itself
	}{
		"relays pass on": {30, true, 15, spreadCopies},
		"relays refuse":  {30, false, 15, 15},
		"few nodes":      {20, true, 10, 10},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatch(t)
			var mu sync.Mutex
			told, missing := map[string]map[string]bool{"r": {}, "far": {}}, 0
			for i := range c.nodes {
				e := roster.Entry{Node: fmt.Sprint("n", i), Start: 2, Domain: "d", Region: "r", Service: "s"}
				if i%2 == 1 {
					e.Region = "far"
				}
				s := &peer.Server{Handler: func(_ context.Context, in peer.Incoming) peer.Reply {
					m, err := decodeMessage(in.Head)
					assert.Check(t, err)
					passOn := m.Update.PassOn && c.passOn
					mu.Lock()
					if passOn || !m.Update.PassOn {
						told[e.Region][e.Node] = true
					}
					mu.Unlock()
					lacking := entries{{Node: "unknown", Start: 1, Addr: "127.0.0.1:1", Domain: "d", Region: "far", Service: "s"}}
					head, err := encode(response{PassedOn: passOn, Entries: lacking, Update: &nodeUpdate{Entry: e}})
					assert.Check(t, err)
					return peer.Reply{Head: head}
				}}
				assert.NilError(t, s.Listen("127.0.0.1:0"))
				t.Cleanup(s.Close)
				e.Addr = s.Addr()
				d.directory.merge([]roster.Entry{e}, time.Now())
			}
			a := announcer{Options: d.Options, directory: d.directory, follower: newFollower(nil), peers: &peer.Client{}}
			t.Cleanup(a.peers.Close)
			a.own = roster.Entry{Node: "n0", Start: 2, Change: 1, Addr: "127.0.0.1:2", Domain: "d", Region: "r", Service: "s"}
			a.notifyAll(t.Context(), map[string]bool{"n3": true})
			for {
				a.mu.Lock()
				missing = len(a.pending) + len(a.spreading)
				a.mu.Unlock()
				if missing == 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, len(told["far"]) <= c.far && len(told["far"]) >= min(c.far, c.nodes/2-1), true, "%v", told)
			assert.Assert(t, len(told["r"]) >= c.direct-2, "%v", told["r"])
			_, known := d.directory.entry("unknown")
			assert.Equal(t, known, c.nodes > 24)
		})
	}
}
