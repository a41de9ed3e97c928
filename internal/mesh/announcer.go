package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/lag"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// updateTimeout bounds one message to a peer.
	updateTimeout = time.Second
	// updateRetry is the interval of the further attempts at peers that could not be
	// notified.
	updateRetry = time.Second
	// updateAttempts bounds the attempts to send an entry to a peer. A peer that comes
	// back later gets the entry with the probe that finds it reachable.
	updateAttempts = 15
	// minPublishBackoff and maxPublishBackoff bound the wait after a failed write.
	minPublishBackoff = 300 * time.Millisecond
	maxPublishBackoff = 5 * time.Second
	// publishedPoll is how often a starting node checks whether its entry is written;
	// a write takes 10 ms.
	publishedPoll = 5 * time.Millisecond
	// maxConfiguration bounds the bytes of a configuration from a peer.
	maxConfiguration = 8 << 20
)

// announcer writes the entry of this node to the registry and sends it to all other
// nodes.
type announcer struct {
	*Options
	directory *directory
	follower  *follower
	peers     *peer.Client

	mu  sync.Mutex
	own roster.Entry
	// pending holds the remaining attempts for peers that do not have the newest
	// entry.
	pending map[string]int
	// spreading holds the other regions whose relays do not have the newest entry.
	spreading map[string]*spreadState
	// published is the change number of the entry in the registry, zero before the
	// first write; first is the position and time of that write.
	published uint64
	first     WriteResult
	// row is the position of the entry in the registry, if rowKnown is set. An entry of an
	// earlier process is not replaced before it was read.
	row      uint64
	rowKnown bool
	// witnessed is the newest change that another node has, and leaving the change that
	// has set Leaving for the current server.
	witnessed, leaving uint64
	// earlier is called, without holding mu, with the entry of an earlier process of this
	// node.
	earlier func(e roster.Entry)
	// reached is called with a node that has answered a probe after it could not be
	// reached; it may be nil.
	reached        func(e roster.Entry)
	publishing     bool
	retryScheduled bool
	// fetches are those of newer configurations that messages of other nodes have shown.
	fetches lag.Fetches
}

// update changes the entry of this node, sends it to all other nodes and publishes
// it.
func (a *announcer) update(ctx context.Context, change func(e *roster.Entry)) {
	a.mu.Lock()
	old := a.own
	change(&a.own)
	a.own.Change++
	if a.own.Leaving && (!old.Leaving || old.Server != a.own.Server || old.Born != a.own.Born) {
		a.leaving = a.own.Change
	}
	own := a.own
	a.mu.Unlock()
	a.directory.merge([]roster.Entry{own}, time.Now())
	a.notifyAll(ctx, nil)
	a.publish(ctx)
}

// record changes the entry in the registry only, for changes that no other node
// waits for.
func (a *announcer) record(ctx context.Context, change func(e *roster.Entry)) {
	a.mu.Lock()
	change(&a.own)
	a.own.Change++
	a.mu.Unlock()
	a.publish(ctx)
}

// setAddr sets the address in the entry. Other nodes may be served already, since they
// know the address of an earlier process.
func (a *announcer) setAddr(addr string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.own.Addr = addr
}

func (a *announcer) entry() roster.Entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.own
}

// notifyAll sends the newest entry to all other nodes except the informed ones.
func (a *announcer) notifyAll(ctx context.Context, informed map[string]bool) {
	relayed := make(map[string]bool)
	for _, e := range a.directory.others() {
		if _, seen := relayed[e.Region]; !seen {
			relayed[e.Region] = e.Region != a.Region && len(a.directory.relaysOf(e.Region)) > 0
		}
	}
	a.mu.Lock()
	if a.spreading == nil {
		a.spreading = make(map[string]*spreadState)
	}
	a.addPending(func(e roster.Entry) bool {
		if relayed[e.Region] && !informed[e.Node] {
			a.spreadLater(e.Region)
		}
		return !relayed[e.Region] && !informed[e.Node]
	})
	a.mu.Unlock()
	a.notifyPending(ctx)
}

// addPending adds nodes that are to be notified directly. The caller holds a.mu.
func (a *announcer) addPending(include func(e roster.Entry) bool) {
	if a.pending == nil {
		a.pending = make(map[string]int)
	}
	for _, e := range a.directory.others() {
		if include(e) {
			a.pending[e.Node] = updateAttempts
		}
	}
}

// informed returns the nodes that find this one in the list of nodes, because they
// read the list after the first entry of this node was written: those whose own
// first entry was written later, and those whose freshStartPause was not over at that
// time. A node that has written another entry since may have read the list earlier,
// unless it started with the whole system.
func (a *announcer) informed(members []Member) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	informed := make(map[string]bool)
	for _, m := range members {
		writtenLater := a.first.Position > 0 && m.Position > a.first.Position && m.Change == 1
		pausing := a.first.Clock > 0 && m.Clock > 0 && m.Clock+freshStartPause >= a.first.Clock
		if writtenLater || pausing {
			informed[m.Node] = true
		}
	}
	return informed
}

// notifyPending sends the newest entry to the peers that do not have it, and repeats
// this later while some are left.
func (a *announcer) notifyPending(ctx context.Context) {
	a.mu.Lock()
	names := make([]string, 0, len(a.pending))
	for name := range a.pending {
		names = append(names, name)
	}
	for region, state := range a.spreading {
		if !state.running {
			state.running = true
			go a.spread(ctx, region)
		}
	}
	start := len(names)+len(a.spreading) > 0 && !a.retryScheduled
	a.retryScheduled = a.retryScheduled || start
	a.mu.Unlock()
	for _, name := range names {
		go a.notify(ctx, name)
	}
	if start {
		time.AfterFunc(updateRetry, func() {
			a.mu.Lock()
			a.retryScheduled = false
			a.mu.Unlock()
			if ctx.Err() == nil {
				a.notifyPending(ctx)
			}
		})
	}
}

// notify exchanges entries with one node.
func (a *announcer) notify(ctx context.Context, name string) {
	to, ok := a.directory.entry(name)
	if !ok {
		a.confirm(name, 0)
		return
	}
	own := a.entry()
	reply, err := a.exchange(ctx, to, own)
	if err != nil {
		a.notifyFailed(to, err)
		return
	}
	a.confirm(name, own.Change)
	if reply == nil {
		return
	}
	a.receive(ctx, *reply)
	if reply.LaterStart >= own.Start {
		a.advanceStart(ctx, reply.LaterStart)
	}
}

// advanceStart raises the start of this process above that of an earlier process
// with its name, so that its entries count as newer.
func (a *announcer) advanceStart(ctx context.Context, start int64) {
	a.mu.Lock()
	behind := a.own.Start <= start
	if behind {
		a.own.Start = start + 1
	}
	a.mu.Unlock()
	if behind {
		a.Log.WithField("start", start).Warn("clock is behind that of an earlier process of this node")
		a.update(ctx, func(*roster.Entry) {})
	}
}

// updateReply returns the reply to an update of another node.
func (a *announcer) updateReply(n nodeUpdate) *nodeUpdate {
	reply := &nodeUpdate{Entry: a.entry(), Version: a.follower.version()}
	if e, ok := a.directory.entry(n.Entry.Node); ok && e.Start > n.Entry.Start {
		reply.LaterStart = e.Start
	}
	return reply
}

func (a *announcer) exchange(ctx context.Context, to roster.Entry, own roster.Entry) (*nodeUpdate, error) {
	head, err := encode(message{Update: &nodeUpdate{Entry: own, Version: a.follower.version(), Left: a.directory.leftOf(to.Node)}})
	if err != nil {
		return nil, err
	}
	reply, err := a.request(ctx, to, head)
	if err != nil {
		return nil, err
	}
	a.witness(own)
	return reply.Update, nil
}

func (a *announcer) request(ctx context.Context, to roster.Entry, head []byte) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	answer, err := a.call(ctx, to.Addr, head)
	if err != nil {
		return response{}, err
	}
	defer answer.Body.Close()
	a.directory.markReachable(to.Node)
	var reply response
	return reply, wire.Unmarshal(answer.Head, &reply)
}

// call sends a message to a peer. A peer that acknowledges it late may only be slow, so
// its answer is awaited until ctx ends or the connection is lost; later messages go on
// another connection.
func (a *announcer) call(ctx context.Context, addr string, head []byte) (*peer.Answer, error) {
	answer, err := a.peers.Call(ctx, addr, peer.Request{Head: head, AwaitAck: true, KeepOpen: true})
	var pending *peer.Pending
	if errors.As(err, &pending) {
		return pending.Await(ctx)
	}
	return answer, err
}

// confirm records that a peer has a change of the entry; zero means that the peer
// needs none.
func (a *announcer) confirm(name string, change uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if change == 0 || change == a.own.Change {
		delete(a.pending, name)
	}
}

// notifyFailed counts a failed attempt to notify a peer.
func (a *announcer) notifyFailed(to roster.Entry, cause error) {
	a.directory.markUnreachable(to.Node, cause, time.Now())
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempts, pending := a.pending[to.Node]; pending && attempts > 1 {
		a.pending[to.Node] = attempts - 1
		return
	}
	delete(a.pending, to.Node)
}

// receive merges the update of another node.
func (a *announcer) receive(ctx context.Context, n nodeUpdate) {
	changed := a.directory.merge([]roster.Entry{n.Entry}, time.Now())
	for _, e := range changed {
		a.logEntry(e, "node told of itself")
	}
	if own := a.entry(); n.Left != nil && n.Left.Node == own.Node && n.Left.Start < own.Start {
		a.earlier(*n.Left)
	}
	a.fetchIfNewer(ctx, n.Version, n.Entry)
}

func (a *announcer) logEntry(e roster.Entry, event string) {
	a.Log.WithField("node", e.Node).WithField("server", e.Server).WithField("state", string(e.State)).
		WithField("stopping", e.Stopping).WithField("change", e.Change).Info(event)
}
