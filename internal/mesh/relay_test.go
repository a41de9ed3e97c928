package mesh

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

// fakeRegistry has a configuration whose next version is sent to next.
type fakeRegistry struct {
	Registry
	next  chan Snapshot
	err   error
	calls atomic.Int32
}

func (r *fakeRegistry) Configuration(context.Context) (Snapshot, error) {
	r.calls.Add(1)
	return document(1), r.err
}

func (r *fakeRegistry) AwaitChange(ctx context.Context, _ uint64, wait time.Duration) (Snapshot, error) {
	r.calls.Add(1)
	if r.err != nil {
		return Snapshot{}, r.err
	}
	select {
	case v := <-r.next:
		return v, nil
	case <-time.After(wait):
		return Snapshot{}, nil
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

func document(version uint64) Snapshot {
	return Snapshot{Document: &route.Document{Version: version}, Raw: []byte{byte(version)}, Position: version}
}

// secondAfter returns the second version after a delay.
func secondAfter(ctx context.Context, d time.Duration) (Snapshot, error) {
	select {
	case <-time.After(d):
		return document(2), nil
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
}

func newFollower(r Registry) *follower {
	joined := make(chan struct{})
	close(joined)
	return &follower{
		Options:   &Options{Node: "n1", Registry: r, Log: &log.Logger{Handler: discard.New()}},
		onApplied: func(*route.Table) {}, onOutage: func(context.Context) {},
		relays: func() []roster.Entry { return nil }, joined: joined,
	}
}

// Guards against a node that keeps its followers waiting while it has lost the
// registry, while it stops, or when it has a new version.
func TestRelayAnswersAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(f *follower, stopping *atomic.Bool)
		version byte
	}{
		"new version":   {func(f *follower, _ *atomic.Bool) { f.apply(document(2), "test") }, 2},
		"registry lost": {func(f *follower, _ *atomic.Bool) { f.setDown(true) }, 0},
		"stopping":      {func(f *follower, stopping *atomic.Bool) { stopping.Store(true); f.releaseFollowers() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFollower(nil)
				f.apply(document(1), "test")
				var stopping, done atomic.Bool
				var err *fault.Error
				go func() {
					err = f.relay(t.Context(), stopping.Load, 1)
					done.Store(true)
				}()
				time.Sleep(5 * time.Second)
				assert.Assert(t, !done.Load())
				assert.Assert(t, f.hasFollowers())
				c.change(f, &stopping)
				synctest.Wait()
				assert.Assert(t, done.Load())
				assert.Assert(t, !f.hasFollowers())
				if c.version == 0 {
					assert.Equal(t, err.Kind, fault.KindStopped)
					return
				}
				assert.Assert(t, err == nil)
				raw, version := f.current()
				assert.DeepEqual(t, raw, []byte{c.version})
				assert.Equal(t, version, uint64(c.version))
			})
		})
	}
}

// Guards against hosts whose limits are not known but count as fast.
func TestRelayingTime(t *testing.T) {
	for name, c := range map[string]struct {
		rate, cores float64
		want        time.Duration
	}{
		"narrow link, small share": {10e6, 0.16, 1050 * time.Millisecond},
		"wide link, large share":   {200e6, 0.8, 90 * time.Millisecond},
		"link only":                {200e6, 0, 40 * time.Millisecond},
		"nothing known":            {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, relaying(c.rate, c.cores), c.want) })
	}
}

// Guards against a configuration that does not reach a node whose relays fail, and
// against calls to the registry while a relay answers.
func TestFollowerOfRelays(t *testing.T) {
	relay := roster.Entry{Node: "n2"}
	for name, c := range map[string]struct {
		relays   []roster.Entry
		askRelay func(ctx context.Context) (Snapshot, error)
		calls    int32
	}{
		"a relay answers": {[]roster.Entry{relay}, func(ctx context.Context) (Snapshot, error) {
			return secondAfter(ctx, 300*time.Millisecond)
		}, 1},
		"the second relay answers": {[]roster.Entry{{Node: "n3"}, relay}, func(ctx context.Context) (Snapshot, error) {
			return secondAfter(ctx, 500*time.Millisecond)
		}, 1},
		"no relay is left": {nil, func(context.Context) (Snapshot, error) { return Snapshot{}, errors.New("unused") }, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &fakeRegistry{next: make(chan Snapshot, 1)}
				f := newFollower(r)
				f.relays = func() []roster.Entry { return c.relays }
				f.askRelay = func(ctx context.Context, to roster.Entry) error {
					if to.Node == "n3" {
						return errors.New("gone")
					}
					v, err := c.askRelay(ctx)
					f.apply(v, to.Node)
					return err
				}
				ctx, cancel := context.WithCancel(t.Context())
				go f.run(ctx)
				time.Sleep(200 * time.Millisecond)
				assert.Equal(t, f.version(), uint64(1))
				r.next <- document(2)
				time.Sleep(2 * time.Second)
				assert.Equal(t, f.version(), uint64(2))
				assert.Assert(t, r.calls.Load() <= c.calls, "%d calls", r.calls.Load())
				cancel()
				synctest.Wait()
			})
		})
	}
}

// expiringRegistry has dropped the history when it is first asked for a change.
type expiringRegistry struct {
	fakeRegistry
	expired atomic.Bool
}

func (r *expiringRegistry) AwaitChange(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error) {
	if r.expired.CompareAndSwap(false, true) {
		r.calls.Add(1)
		return Snapshot{}, fault.New(fault.KindExpired, "history dropped")
	}
	return r.fakeRegistry.AwaitChange(ctx, position, wait)
}

// Guards against a node that turns its followers away because the registry no longer has
// the changes since this node last asked, which it has not while it followed relays.
func TestDroppedHistoryIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &expiringRegistry{fakeRegistry: fakeRegistry{next: make(chan Snapshot, 1)}}
		f := newFollower(r)
		var outages atomic.Int32
		f.onOutage = func(context.Context) { outages.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		go f.run(ctx)
		follow, stop := context.WithCancel(t.Context())
		var refused atomic.Pointer[fault.Error]
		go func() {
			refused.Store(f.relay(follow, func() bool { return false }, 1))
		}()
		time.Sleep(5 * time.Second)
		assert.Assert(t, r.expired.Load())
		assert.Equal(t, outages.Load(), int32(0))
		assert.Assert(t, refused.Load() == nil)
		assert.Equal(t, r.calls.Load(), int32(4), "read, change, read, change")
		stop()
		cancel()
		synctest.Wait()
	})
}
