package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
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
)

// follower keeps the newest configuration. It never goes back to an older one.
type follower struct {
	*Options
	// applied is called after a new configuration is in force.
	applied func(t *route.Table)
	// outage is called each time the registry fails.
	outage func(ctx context.Context)

	mu    sync.Mutex
	raw   []byte
	table atomic.Pointer[route.Table]
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
func (f *follower) apply(v Versioned, from string) {
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

// run follows the registry until ctx ends.
func (f *follower) run(ctx context.Context) {
	var position uint64
	known, down := false, false
	wait := followRetry
	for ctx.Err() == nil {
		var v Versioned
		var err error
		if known {
			v, err = f.Registry.Changed(ctx, position, followWait(down))
		} else {
			v, err = f.Registry.Configuration(ctx)
		}
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
			f.outage(ctx)
			sleep(ctx, spread(wait))
			wait = min(2*wait, followMost)
			continue
		}
		if down {
			f.Log.WithField("position", v.Position).Info("registry regained")
		}
		known, down, wait = true, false, followRetry
		position = max(position, v.Position)
		f.apply(v, "registry")
	}
}
