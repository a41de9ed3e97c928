package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

const (
	// followRetry and followMost bound the wait after the registry failed.
	followRetry = 200 * time.Millisecond
	followMost  = time.Second
	// trialWait is how long the registry is asked to wait for a change after it has
	// failed: an answer that is lost on a connection which stays open shows only by
	// its absence.
	trialWait = time.Second
	// calmWait is the same while all is well, when each call costs.
	calmWait = 30 * time.Second
	// joinPatience is how long a starting node waits to know whether others follow
	// the registry for it.
	joinPatience = 2 * time.Second
)

// follower keeps the newest configuration. It never goes back to an older one.
type follower struct {
	*Options
	// applied is called after a new configuration is in force.
	applied func(t *route.Table)
	// outage is called each time the registry fails.
	outage func(ctx context.Context)
	// relays returns the nodes to follow instead of the registry; nil means that
	// this node follows the registry itself.
	relays func() []roster.Entry
	// joined is closed when this node knows the others.
	joined chan struct{}
	// ask asks another node for the next version after that of this node.
	ask func(ctx context.Context, to roster.Entry) (Snapshot, error)

	mu    sync.Mutex
	raw   []byte
	table atomic.Pointer[route.Table]
	// changed is closed by the next change of what nodes that follow this one need
	// to know.
	changed chan struct{}
	// down is set while the registry does not answer.
	down bool
	// held counts the requests of nodes that follow this one.
	held int
	// seen is the registry's clock at its last answer.
	seen time.Duration
}

// clock returns the registry's clock at its last answer, or zero.
func (f *follower) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

func (f *follower) version() uint64 {
	if t := f.table.Load(); t != nil {
		return t.Document.Version
	}
	return 0
}

// current returns the raw form of the configuration in force.
func (f *follower) current() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw
}

// apply puts a configuration in force if it is newer.
func (f *follower) apply(v Snapshot, from string) {
	if v.Document == nil {
		return
	}
	f.mu.Lock()
	if v.Document.Version <= f.version() {
		f.mu.Unlock()
		return
	}
	table := route.NewTable(v.Document)
	f.raw = v.Raw
	f.table.Store(table)
	f.wake()
	f.mu.Unlock()
	f.Log.WithField("version", v.Document.Version).WithField("routes", len(v.Document.Routes)).
		WithField("from", from).Info("configuration in force")
	f.applied(table)
}

func followWait(down bool) time.Duration {
	if down {
		return trialWait
	}
	return calmWait
}

// wake tells those who wait for a change. It is called with the lock.
func (f *follower) wake() {
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// setDown notes whether the registry answers.
func (f *follower) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down != down {
		f.down = down
		f.wake()
	}
}

// run follows the registry, or nodes that do, until ctx ends.
func (f *follower) run(ctx context.Context) {
	var position uint64
	known, down := false, false
	wait := followRetry
	for ctx.Err() == nil {
		if known {
			if relays := f.relays(); len(relays) > 0 {
				f.followNodes(ctx, relays)
				continue
			}
		}
		v, err := f.next(ctx, known, down, position)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if fault.Is(err, fault.KindExpired) {
				known = false
			}
			if !down {
				f.Log.WithError(err).WithField("position", position).Warn("registry lost")
			}
			down = true
			f.setDown(true)
			f.outage(ctx)
			clock.Sleep(ctx, retry.Jitter(wait, nil))
			wait = min(2*wait, followMost)
			continue
		}
		if down {
			f.Log.WithField("position", v.Position).Info("registry regained")
			f.setDown(false)
		}
		position = max(position, v.Position)
		f.mu.Lock()
		f.seen = v.Clock
		f.mu.Unlock()
		f.apply(v, "registry")
		if !known {
			f.awaitOthers(ctx)
		}
		known, down, wait = true, false, followRetry
	}
}

func (f *follower) awaitOthers(ctx context.Context) {
	patience := joinPatience
	if f.Fresh {
		patience += freshPause
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-f.joined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next asks the registry for the next version, or for the present one.
func (f *follower) next(ctx context.Context, known, down bool, position uint64) (Snapshot, error) {
	if !known {
		return f.Registry.Configuration(ctx)
	}
	return f.Registry.AwaitChange(ctx, position, followWait(down))
}
