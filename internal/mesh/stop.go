package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// Stop stops the node gracefully: other nodes are notified first, then callers are
// drained, and requests in flight finish. Callers are accepted until the backend server
// beside the node has finished, because it may make calls to answer its requests, but at
// most until drainNotice before the end, so that requests accepted last can finish too.
func (n *Node) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.Bounds.Grace-stopMargin)
	defer cancel()
	n.Log.WithField("node", n.Node()).Info("node stopping")
	n.stopping.Store(true)
	n.follower.releaseFollowers()
	n.announcer.update(n.runCtx, func(e *roster.Entry) { e.Stopping = true })
	end, _ := ctx.Deadline()
	n.callers.Needed = func() bool { return time.Until(end) > drainNotice && n.serverProxy.running() }
	left := n.callers.Drain(ctx, drainNotice)
	n.awaitPeers(ctx)
	n.Log.WithField("node", n.Node()).WithField("left", left).WithField("peers", n.inFlight.Load()).Info("node stopped")
	n.cancel()
	n.callers.Close()
	n.peerServer.Close()
	n.peers.Close()
	n.serverProxy.pool.Close()
}

// awaitPeers waits until the requests of peers have ended and their answers were sent.
// An answer counts as neither for a moment, so both must be zero twice.
func (n *Node) awaitPeers(ctx context.Context) {
	for idle := 0; idle < 2 && ctx.Err() == nil; clock.Sleep(ctx, tickInterval/4) {
		if idle++; n.inFlight.Load() > 0 || n.peerServer.Sending() > 0 {
			idle = 0
		}
	}
}
