package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// load returns the shard map of a service. It uses the cached map if that was
// read after the given time, or else reads the table. The first node that needs a
// map creates it.
func (c *Controller) load(ctx context.Context, service string, after time.Time) (once.Map, error) {
	e := c.maps.entry(service)
	if m, ok, err := c.maps.cached(e, after); ok && err == nil {
		return m, nil
	}
	requestedAt := c.now()
	if err := e.lock(ctx); err != nil {
		return once.Map{}, mapReadError(service, err)
	}
	defer e.unlock()
	// The previous holder of the lock may have read the row in the meantime. If
	// the table service hangs, the waiting requests share one failure.
	if m, ok, err := c.maps.cached(e, later(after, requestedAt.Add(-failureCacheTTL))); ok {
		return m, err
	}
	m, err := c.read(ctx, service, e)
	if err != nil {
		err = mapReadError(service, err)
		if ctx.Err() == nil {
			c.maps.setError(e, err, c.now())
		}
		return once.Map{}, err
	}
	return m, nil
}

// failureCacheTTL limits what a call of load reuses once it holds the lock of the
// row: a map or the error of a failed read, from at most failureCacheTTL before the
// call began and after the time that its caller gave.
const failureCacheTTL = 500 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func mapReadError(service string, err error) error {
	return fault.New(fault.KindNoOwner, "owner of the key is not known: table row %s cannot be read: %v", once.RowKey(service), err)
}

// read reads the row, creates it if there is none, and applies its shards to
// Records. The caller must hold the lock of e.
func (c *Controller) read(ctx context.Context, service string, e *cachedMap) (once.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	requestedAt := c.now()
	b, etag, err := c.Table.Get(ctx, once.RowKey(service))
	if err != nil {
		return once.Map{}, err
	}
	if etag == "" {
		if err := c.create(ctx, service); err != nil {
			return once.Map{}, err
		}
		if b, etag, err = c.Table.Get(ctx, once.RowKey(service)); err != nil {
			return once.Map{}, err
		}
	}
	m, err := once.DecodeMap(service, b)
	if err != nil {
		return once.Map{}, err
	}
	c.maps.set(e, m, etag, requestedAt)
	for _, s := range m.Shards {
		c.Records.UpdateShard(s, handOverGrace, c.now())
	}
	return m, nil
}

// create writes the initial map. Errors of the write are ignored: it may have
// taken effect, or another node may have created the map. The caller reads the
// row next.
func (c *Controller) create(ctx context.Context, service string) error {
	m := once.Assign(service, c.Members.Members())
	if len(m.Shards) == 0 {
		return fault.New(fault.KindNoServer, "no member can own the keys of %s", service)
	}
	b, err := m.Encode()
	if err != nil {
		return err
	}
	if _, err = c.Table.Create(ctx, once.RowKey(service), b); err == nil {
		for _, s := range m.Shards {
			c.notifyPairs(once.Shard{}, s)
		}
	}
	return nil
}

// changeFunc returns the changed shards of a map, each with its next epoch.
type changeFunc func(m once.Map) []once.Shard

// write applies a change with a conditional write. It returns the map before the
// change and the changed shards. If the write fails, the row is read to find out
// whether it took effect. After an error of write, it may still have taken effect:
// see confirmWrite.
func (c *Controller) write(ctx context.Context, service string, decide changeFunc) (once.Map, []once.Shard, error) {
	e := c.maps.entry(service)
	if err := e.lock(ctx); err != nil {
		return once.Map{}, nil, err
	}
	defer e.unlock()
	m, etag, _ := c.maps.get(e)
	if etag == "" {
		if _, err := c.read(ctx, service, e); err != nil {
			return once.Map{}, nil, err
		}
		m, etag, _ = c.maps.get(e)
	}
	changed := decide(m)
	if len(changed) == 0 {
		return m, nil, nil
	}
	next := m
	for _, s := range changed {
		next = next.With(s)
	}
	return m, changed, c.compareAndSwap(ctx, e, etag, next, changed)
}

func (c *Controller) compareAndSwap(ctx context.Context, e *cachedMap, etag string, next once.Map, changed []once.Shard) error {
	b, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	c.maps.clearETag(e)
	etag, err = c.Table.CompareAndSwap(ctx, once.RowKey(next.Service), etag, b)
	if err != nil {
		return c.confirmWrite(ctx, e, next.Service, changed, err)
	}
	c.maps.set(e, next, etag, c.now())
	for _, s := range changed {
		c.Records.UpdateShard(s, 0, c.now())
	}
	return nil
}

// confirmWrite reads the row after a failed write. It returns nil if the row holds
// all changed shards. Otherwise it returns cause, also if the row cannot be read or
// a changed shard has changed again, so cause does not prove that the write had no
// effect.
func (c *Controller) confirmWrite(ctx context.Context, e *cachedMap, service string, changed []once.Shard, cause error) error {
	m, err := c.read(ctx, service, e)
	if err != nil {
		return cause
	}
	for _, s := range changed {
		if m.Shards[s.Index] != s {
			return cause
		}
	}
	return nil
}

// updateShard applies a shard received from another node.
func (c *Controller) updateShard(s once.Shard, grace time.Duration) {
	if s.Epoch == 0 || s.Index < 0 || s.Index >= once.Shards {
		return
	}
	c.maps.replaceShard(s)
	if c.Records.UpdateShard(s, grace, c.now()) && s.Has(c.Records.Self) {
		c.startRepair()
	}
}
