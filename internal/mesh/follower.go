package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/lag"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

const (
	// minFollowBackoff and maxFollowBackoff bound the wait after a failure of the
	// registry.
	minFollowBackoff = 200 * time.Millisecond
	maxFollowBackoff = time.Second
	// outageWait is how long the registry may hold a request for the next change after
	// it has failed: a lost answer on a connection that stays open can be noticed only
	// by a timeout.
	outageWait = time.Second
	// changeWait is the same while the registry works; it is long because each call
	// has a cost.
	changeWait = 30 * time.Second
	// applyShare is the part of Bounds.Apply for which a node handles requests by an older
	// configuration once it knows of a newer one. The rest is for the time until it knows.
	applyShare = 2.0 / 3
	// outdatedWait is when callers may return that were refused for that: decoding a long
	// document takes some tenths of a second.
	outdatedWait = 300 * time.Millisecond
	// joinTimeout is how long a starting node waits until it knows whether there are
	// relays that follow the registry for it.
	joinTimeout = 2 * time.Second
)

// follower keeps the newest configuration in force. It never applies an older one.
type follower struct {
	*Options
	// onApplied is called after a new configuration is in force.
	onApplied func(t *route.Table)
	// onOutage is called each time the registry fails.
	onOutage func(ctx context.Context)
	// relays returns the nodes to follow instead of the registry; nil means that
	// this node follows the registry itself.
	relays func() []roster.Entry
	// joined is closed when this node has read the list of nodes.
	joined chan struct{}
	// askRelay requests the next version after the one of this node from another node,
	// and puts it in force.
	askRelay func(ctx context.Context, to roster.Entry) error

	// patches makes patches to the configuration in force.
	patches patches
	// lag tracks for how long newer versions have been known.
	lag lag.Tracker
	// failedFetches counts the fetches from other nodes that failed.
	failedFetches atomic.Int64

	// decoding is held while a configuration of another node is decoded: the same one may
	// arrive from several at a time.
	decoding sync.Mutex

	mu    sync.Mutex
	raw   []byte
	table atomic.Pointer[route.Table]
	// changed is closed at the next change that must end the open requests of followers:
	// a new version, the loss or return of the registry, or the stop of this node.
	changed chan struct{}
	// down is set while the registry does not answer.
	down bool
	// followers counts the open requests of nodes that use this one as a relay.
	followers int
	// lastClock is the registry's clock at its last answer.
	lastClock time.Duration
}

// clock returns the registry's clock at its last answer, or zero.
func (f *follower) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastClock
}

func (f *follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// current returns the raw form of the configuration in force and its version.
func (f *follower) current() (raw []byte, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw, f.version()
}

// apply puts a configuration in force if it is newer than the present one.
func (f *follower) apply(v Snapshot, from string) {
	if v.Document == nil {
		return
	}
	f.mu.Lock()
	if v.Document.Version <= f.version() {
		f.mu.Unlock()
		return
	}
	start := time.Now()
	table := route.NewTable(v.Document)
	f.raw = v.Raw
	f.patches.add(v.Raw)
	f.table.Store(table)
	f.notifyChanged()
	f.mu.Unlock()
	now := time.Now()
	f.Log.WithField("version", v.Document.Version).WithField("routes", len(v.Document.Routes)).
		WithField("from", from).WithField("bytes", v.Transferred).WithField("behind", f.lag.Applied(v.Document.Version, now)).
		WithField("fetch", v.Fetch).WithField("decode", v.Decode).WithField("apply", now.Sub(start)).Info("configuration in force")
	f.onApplied(table)
}

// seen records that another node has a version.
func (f *follower) seen(version uint64, node string) {
	if f.lag.Seen(version, time.Now()) {
		f.Log.WithField("version", version).WithField("node", node).WithField("own", f.version()).
			Info("newer configuration known")
	}
}

// checkAge returns an error if this node has known of a newer configuration for so long that
// it must not handle requests by the one that it has.
func (f *follower) checkAge() *fault.Error {
	if !f.lag.Outdated(time.Now(), time.Duration(applyShare*float64(f.Bounds.Apply))) {
		return nil
	}
	return fault.New(fault.KindStopped, "node %s has configuration %d and knows of %d", f.Node, f.version(), f.lag.Newest()).
		WithWait(outdatedWait)
}

func registryWait(down bool) time.Duration {
	if down {
		return outageWait
	}
	return changeWait
}

// notifyChanged wakes all goroutines that wait for a change. The caller holds f.mu.
func (f *follower) notifyChanged() {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// setDown records whether the registry answers.
func (f *follower) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != down {
		f.down = down
		f.notifyChanged()
	}
}

// run follows the registry, or relays that do, until ctx ends.
func (f *follower) run(ctx context.Context) {
	var position uint64
	known, down := false, false
	wait := minFollowBackoff
	for ctx.Err() == nil {
		if known {
			if relays := f.relays(); len(relays) > 0 {
				f.followRelays(ctx, relays)
				continue
			}
		}
		v, err := f.next(ctx, known, down, position)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if fault.Is(err, fault.KindExpired) && known && !down {
				// The registry answers, but a node that followed relays asks for a change of
				// long ago.
				f.Log.WithField("position", position).Info("history of the registry dropped; reading the configuration")
				known = false
				clock.Sleep(ctx, retry.Jitter(minFollowBackoff, nil))
				continue
			}
			known = known && !fault.Is(err, fault.KindExpired)
			if !down {
				f.Log.WithError(err).WithField("position", position).Warn("registry lost")
			}
			down = true
			f.setDown(true)
			f.onOutage(ctx)
			clock.Sleep(ctx, retry.Jitter(wait, nil))
			wait = min(2*wait, maxFollowBackoff)
			continue
		}
		if down {
			f.Log.WithField("position", v.Position).Info("registry regained")
			f.setDown(false)
		}
		position = max(position, v.Position)
		f.mu.Lock()
		f.lastClock = v.Clock
		f.mu.Unlock()
		f.apply(v, "registry")
		if !known {
			f.awaitJoined(ctx)
		}
		known, down, wait = true, false, minFollowBackoff
	}
}

func (f *follower) awaitJoined(ctx context.Context) {
	timeout := joinTimeout
	if f.Fresh {
		timeout += freshStartPause
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-f.joined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next requests the next version from the registry, or the present one if this node
// does not know a position yet.
func (f *follower) next(ctx context.Context, known, down bool, position uint64) (Snapshot, error) {
	if !known {
		return f.Registry.Configuration(ctx)
	}
	return f.Registry.AwaitChange(ctx, position, registryWait(down))
}
