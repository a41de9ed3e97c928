package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// relayCount is how many relays are followed at a time: one of them may have lost
	// the registry without having noticed yet.
	relayCount = 2
	// relayTimeout is how long one request to a relay is held open. The pings of the
	// connection detect a lost node sooner.
	relayTimeout = 25 * time.Second
	// relayRetry is the pause after all relays failed, and relayAvoidTime how long a
	// relay that failed is not used.
	relayRetry     = 200 * time.Millisecond
	relayAvoidTime = 3 * time.Second
	// decodeWork is the processor time of one core for a configuration of 1 MB
	// (BenchmarkChange in platform).
	decodeWork = 40 * time.Millisecond
)

// relaying returns how long a host takes to read and decode a configuration of 1 MB; zero
// if neither of its limits is known.
func relaying(linkRate, cores float64) time.Duration {
	seconds := 0.0
	if linkRate > 0 {
		seconds += 8e6 / linkRate
	}
	if cores > 0 {
		seconds += decodeWork.Seconds() / cores
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond)
}

// followRelays waits for a new version from nodes that follow the registry. It
// returns when one of them has answered, when all have failed, or relayAvoidTime
// after the first failure.
func (f *follower) followRelays(ctx context.Context, relays []roster.Entry) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	relays = relays[:min(len(relays), relayCount)]
	results := make(chan error, len(relays))
	for _, to := range relays {
		go func() {
			results <- f.askRelay(ctx, to)
		}()
	}
	for left := len(relays); left > 0; left-- {
		select {
		case err := <-results:
			if err == nil || ctx.Err() != nil {
				return
			}
			f.Log.WithError(err).Info("node does not relay the configuration")
			// The other relay goes on, but only for a limited time as the sole one.
			time.AfterFunc(relayAvoidTime, cancel)
		case <-ctx.Done():
			return
		}
	}
	clock.Sleep(ctx, retry.Jitter(relayRetry, nil))
}

// relay waits for a node that follows this one, until there is a version after the one
// that it has. It fails if this node itself loses the registry or stops.
func (f *follower) relay(ctx context.Context, stopping func() bool, after uint64) *fault.Error {
	f.mu.Lock()
	f.followers++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.followers--
		f.mu.Unlock()
	}()
	for {
		f.mu.Lock()
		if f.changed == nil {
			f.notifyChanged()
		}
		changed, down := f.changed, f.down
		f.mu.Unlock()
		switch {
		case f.version() > after:
			return nil
		case down || stopping():
			return fault.New(fault.KindStopped, "node %s does not follow the registry at the moment", f.Node)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.New(fault.KindStopped, "the request to node %s for the next configuration was cancelled", f.Node)
		}
	}
}

// hasFollowers reports whether other nodes follow this one.
func (f *follower) hasFollowers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.followers > 0
}

// releaseFollowers ends the requests of nodes that follow this one.
func (f *follower) releaseFollowers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyChanged()
}

// fetchNext requests the next version from another node and puts it in force.
func (a *announcer) fetchNext(ctx context.Context, to roster.Entry) error {
	version := a.follower.version()
	err := a.requestConfiguration(ctx, to, message{Follow: &version})
	if err != nil && ctx.Err() == nil {
		a.directory.avoidRelay(to.Node, time.Now().Add(relayAvoidTime))
	}
	return err
}
