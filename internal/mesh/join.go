package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// joinRetry is the interval at which reading the list of nodes is retried.
	joinRetry = 300 * time.Millisecond
	// serverNameTimeout is how long a starting node waits for its server's name before
	// it publishes its entry without one.
	serverNameTimeout = time.Second
	// limitCheckInterval is how often the concurrency limit is compared with the one
	// in the registry, and minLimitChange the difference from which it is written.
	limitCheckInterval = 5 * time.Second
	minLimitChange     = 2
	// freshStartPause is how long after its first entry a node that starts with the
	// whole system reads the list of nodes. All nodes start within 0.3 s of each other
	// and need some tenths of a second to write, and nodes in the list that read it
	// later need no message.
	freshStartPause = time.Second
)

// join publishes the entry of this node, reads the list of nodes, and sends the entry
// to the nodes that do not know it.
func (n *Node) join() {
	restored := n.restore() // names the server that is expected
	for start := time.Now(); time.Since(start) < serverNameTimeout && !n.serverProxy.serverKnown(); {
		clock.Sleep(n.runCtx, serverNameTimeout/10)
	}
	n.announcer.update(n.runCtx, func(e *roster.Entry) {
		n.serverProxy.describe(e)
		if n.Fresh {
			e.Clock = n.follower.clock()
		}
	})
	n.announcer.awaitPublished(n.runCtx)
	if n.Fresh {
		clock.Sleep(n.runCtx, freshStartPause)
	}
	var members []Member
	for n.runCtx.Err() == nil {
		var err error
		if members, err = n.Registry.Members(n.runCtx); err == nil {
			break
		}
		n.Log.WithError(err).Warn("cannot read the list of nodes")
		clock.Sleep(n.runCtx, retry.Jitter(joinRetry, nil))
	}
	entries := make([]roster.Entry, len(members))
	for i, m := range members {
		entries[i] = m.Entry
	}
	n.directory.merge(entries, time.Now())
	if !restored {
		n.restoreCrashes(members)
	}
	if e, ok := n.directory.entry(n.Node()); ok && e.Start > n.announcer.entry().Start {
		n.announcer.advanceStart(n.runCtx, e.Start)
	}
	n.joined.Store(true)
	close(n.follower.joined)
	n.Log.WithField("nodes", n.directory.count()).Info("node joined")
	n.announcer.notifyAll(n.runCtx, n.announcer.informed(members))
}

// restore takes over the state of an earlier process of this node from the registry, and
// returns false if crashes are still to be restored. If the registry does not answer, the
// entry of the earlier process is taken over before the new one is written.
func (n *Node) restore() bool {
	if n.Fresh {
		return true
	}
	members, err := n.Registry.Members(n.runCtx)
	if err != nil {
		n.Log.WithError(err).Warn("cannot read the entry of the earlier process yet")
		time.AfterFunc(crashlessStart, n.crashesKnown)
		return false
	}
	n.serverProxy.suggestLimit(initialLimit(members, n.Node(), n.backend().Service))
	var own Member
	for _, m := range members {
		if m.Node == n.Node() {
			own = m
		}
	}
	n.announcer.found(n.runCtx, own)
	return n.restoreCrashes(members)
}

// takeOver takes over from an entry of an earlier process that the server is leaving.
func (n *Node) takeOver(e roster.Entry) {
	n.serverProxy.suggestLimit(initialLimit([]Member{{Entry: e}}, n.Node(), n.backend().Service))
	switch {
	case !e.Leaving:
		n.serverProxy.expect(e)
	case n.serverProxy.deregister(e.Server, e.Born):
		n.Log.WithField("server", e.Server).Info("backend server was leaving before the start of this node")
	}
}

// initialLimit returns the limit that an earlier process of this node found, or else
// the smallest limit below the slots that a node of the service has found.
func initialLimit(members []Member, node, service string) int {
	smallest := 0
	for _, e := range members {
		if e.Service != service || e.Limit == 0 {
			continue
		}
		if e.Node == node {
			return e.Limit
		}
		if e.Limit < e.Slots && (smallest == 0 || e.Limit < smallest) {
			smallest = e.Limit
		}
	}
	return smallest
}

// publishLimit writes the concurrency limit to the registry when it differs from the
// one stored there. All nodes may restart at once during an overload and then need
// it.
func (n *Node) publishLimit() {
	own := n.announcer.entry()
	current := n.serverProxy.limit()
	difference := max(current-own.Limit, own.Limit-current)
	if own.Limit == 0 || difference < minLimitChange || n.stopping.Load() {
		return
	}
	n.announcer.record(n.runCtx, func(e *roster.Entry) { e.Limit = current })
}
