package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// relayCount is how many nodes are followed at a time: one of them may have lost
	// the registry without knowing it yet.
	relayCount = 2
	// relayTime is how long one request to such a node is held open. The ping of its
	// connection tells sooner when the node is gone.
	relayTime = 25 * time.Second
	// relayPause is the pause after no node relayed, and relayRefused how long a node
	// that did not is passed over.
	relayPause   = 200 * time.Millisecond
	relayRefused = 3 * time.Second
)

// followNodes waits for a version that nodes which follow the registry have. It
// returns when one of them has answered or failed.
func (f *follower) followNodes(ctx context.Context, relays []roster.Entry) {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	relays = relays[:min(len(relays), relayCount)]
	results := make(chan error, len(relays))
	for _, to := range relays {
		go func() {
			v, err := f.ask(ctx, to)
			if err == nil {
				f.apply(v, "node "+to.Node)
			}
			results <- err
		}()
	}
	for left := len(relays); left > 0; left-- {
		select {
		case err := <-results:
			if err == nil || ctx.Err() != nil {
				return
			}
			f.Log.WithError(err).Info("node does not relay the configuration")
			// The other one goes on, but not alone for long.
			time.AfterFunc(relayRefused, cancel)
		case <-ctx.Done():
			return
		}
	}
	clock.Sleep(ctx, retry.Jitter(relayPause, nil))
}

// relay answers a node that follows this one: when there is a version after the
// one that it has, or when this node cannot tell.
func (f *follower) relay(ctx context.Context, stopping func() bool, after uint64) (raw []byte, err *fault.Error) {
	f.mu.Lock()
	f.held++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.held--
		f.mu.Unlock()
	}()
	for {
		f.mu.Lock()
		if f.changed == nil {
			f.wake()
		}
		changed, down, raw := f.changed, f.down, f.raw
		f.mu.Unlock()
		switch {
		case f.version() > after:
			return raw, nil
		case down || stopping():
			return nil, fault.New(fault.KindStopped, "node %s does not follow the registry at the moment", f.Node)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, fault.New(fault.KindStopped, "node %s was not asked any more", f.Node)
		}
	}
}

// relaying reports whether other nodes follow this one.
func (f *follower) relaying() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held > 0
}

// stop ends the requests of nodes that follow this one.
func (f *follower) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
}

// follow asks another node for the next version.
func (a *announcer) follow(ctx context.Context, to roster.Entry) (Snapshot, error) {
	version := a.follower.version()
	head, err := encode(message{Follow: &version})
	if err != nil {
		return Snapshot{}, err
	}
	raw, err := a.fetchRaw(ctx, to, peer.Request{Head: head, AwaitAck: true})
	if err != nil {
		if ctx.Err() == nil {
			a.directory.passOver(to.Node, time.Now().Add(relayRefused))
		}
		return Snapshot{}, err
	}
	document, err := a.Registry.Decode(raw)
	return Snapshot{Document: document, Raw: raw}, err
}
