package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// joinRetry is how often the list of nodes is read until it is there.
	joinRetry = 300 * time.Millisecond
	// findPatience is how long a starting node waits for its server's name before it
	// tells of itself without one.
	findPatience = time.Second
	// keepInterval is how often the limit on concurrency is compared with the one
	// in the registry, and limitDrift the difference that is written.
	keepInterval = 5 * time.Second
	limitDrift   = 2
	// freshPause is how long after its first entry a node that starts with the whole
	// system reads the list of nodes: all start within 0.3 s of each other and take
	// some tenths to write, and who is in the list need not be told.
	freshPause = time.Second
)

// join reads the list of nodes, tells of this node, and is told of the others.
func (n *Node) join() {
	for start := time.Now(); time.Since(start) < findPatience && !n.far.known(); {
		clock.Sleep(n.running, findPatience/10)
	}
	n.recall()
	n.announcer.update(n.running, func(e *roster.Entry) {
		n.far.describe(e)
		if n.Fresh {
			e.Clock = n.follower.clock()
		}
	})
	n.announcer.awaitPublished(n.running)
	if n.Fresh {
		clock.Sleep(n.running, freshPause)
	}
	var members []Member
	for n.running.Err() == nil {
		var err error
		if members, err = n.Registry.Members(n.running); err == nil {
			break
		}
		n.Log.WithError(err).Warn("list of nodes not read")
		clock.Sleep(n.running, retry.Jitter(joinRetry, nil))
	}
	entries := make([]roster.Entry, len(members))
	for i, m := range members {
		entries[i] = m.Entry
	}
	n.directory.merge(entries, time.Now())
	if e, ok := n.directory.entry(n.Node()); ok && e.Start > n.announcer.entry().Start {
		n.announcer.overtake(n.running, e.Start)
	}
	n.joined.Store(true)
	close(n.follower.joined)
	n.Log.WithField("nodes", n.directory.nodes()).Info("node joined")
	n.announcer.tellAll(n.running, n.announcer.aware(members))
}

// recall takes what an earlier process of this node knew: the limit on concurrency,
// and that the server has said it leaves.
func (n *Node) recall() {
	if n.Fresh {
		return
	}
	earlier, err := n.Registry.Members(n.running)
	if err != nil {
		n.Log.WithError(err).Warn("entry of the earlier process not read")
	}
	n.far.suggest(suggestion(earlier, n.Node(), n.Service))
	for _, e := range earlier {
		if e.Node == n.Node() && e.Leaving {
			n.far.left(e.Server, 0)
		}
	}
}

// suggestion returns the limit that this node found in an earlier life, or else
// the smallest share of slots that nodes of the service have found.
func suggestion(members []Member, node, service string) int {
	least := 0
	for _, e := range members {
		if e.Service != service || e.Limit == 0 {
			continue
		}
		if e.Node == node {
			return e.Limit
		}
		if e.Limit < e.Slots && (least == 0 || e.Limit < least) {
			least = e.Limit
		}
	}
	return least
}

// keepLimit writes the limit on concurrency to the registry when it has moved
// away from what is there: all nodes may restart at once, into an overload.
func (n *Node) keepLimit() {
	own := n.announcer.entry()
	found := n.far.limit()
	off := max(found-own.Limit, own.Limit-found)
	if own.Limit == 0 || off < limitDrift || n.stopping.Load() {
		return
	}
	n.announcer.record(n.running, func(e *roster.Entry) { e.Limit = found })
}
