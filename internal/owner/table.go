package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// load returns the shard map of a service: the cached one if it was read after
// the given time, else the table's. The first node that needs a map creates it.
func (c *Controller) load(ctx context.Context, service string, after time.Time) (once.Map, error) {
	r := c.rows.row(service)
	if m, ok, err := c.rows.cached(r, after); ok && err == nil {
		return m, nil
	}
	asked := c.now()
	if err := r.lock(ctx); err != nil {
		return once.Map{}, noMap(service, err)
	}
	defer r.unlock()
	// Whoever held the row before may have read it meanwhile. With a store that
	// hangs, the requests that waited share one failure.
	if m, ok, err := c.rows.cached(r, later(after, asked.Add(-failureShare))); ok {
		return m, err
	}
	m, err := c.read(ctx, service, r)
	if err != nil {
		err = noMap(service, err)
		if ctx.Err() == nil {
			c.rows.fail(r, err, c.now())
		}
		return once.Map{}, err
	}
	return m, nil
}

// failureShare is how long a failed read of the table answers for the next.
const failureShare = 500 * time.Millisecond

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func noMap(service string, err error) error {
	return fault.New(fault.KindNoOwner, "owner of the key is not known: table row %s cannot be read: %v", once.RowKey(service), err)
}

// read fetches the row, creates it if there is none, and adopts it. The caller
// holds the row's lock.
func (c *Controller) read(ctx context.Context, service string, r *row) (once.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	asked := c.now()
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
	c.rows.set(r, m, etag, asked)
	for _, s := range m.Shards {
		c.Records.UpdateShard(s, handOverGrace, c.now())
	}
	return m, nil
}

// create writes the first map. An error may hide a success or another node's
// map, which the caller reads next.
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
			c.announce(once.Shard{}, s)
		}
	}
	return nil
}

// change decides about the next epochs of shards of a map. The result lists
// only changed shards.
type change func(m once.Map) []once.Shard

// write applies a change by a conditional write and returns the map before it
// and the shards that are in force. A lost reply is resolved by reading.
func (c *Controller) write(ctx context.Context, service string, decide change) (once.Map, []once.Shard, error) {
	r := c.rows.row(service)
	if err := r.lock(ctx); err != nil {
		return once.Map{}, nil, err
	}
	defer r.unlock()
	m, etag, _ := c.rows.get(r)
	if etag == "" {
		if _, err := c.read(ctx, service, r); err != nil {
			return once.Map{}, nil, err
		}
		m, etag, _ = c.rows.get(r)
	}
	changed := decide(m)
	if len(changed) == 0 {
		return m, nil, nil
	}
	next := m
	for _, s := range changed {
		next = next.With(s)
	}
	return m, changed, c.swap(ctx, r, etag, next, changed)
}

func (c *Controller) swap(ctx context.Context, r *row, etag string, next once.Map, changed []once.Shard) error {
	b, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	c.rows.stale(r)
	etag, err = c.Table.CompareAndSwap(ctx, once.RowKey(next.Service), etag, b)
	if err != nil {
		return c.resolve(ctx, r, next.Service, changed, err)
	}
	c.rows.set(r, next, etag, c.now())
	for _, s := range changed {
		c.Records.UpdateShard(s, 0, c.now())
	}
	return nil
}

// resolve reads the row to learn whether a failed write took effect.
func (c *Controller) resolve(ctx context.Context, r *row, service string, changed []once.Shard, cause error) error {
	m, err := c.read(ctx, service, r)
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

// learn adopts a shard that another node has told of.
func (c *Controller) learn(s once.Shard, grace time.Duration) {
	if s.Epoch == 0 || s.Index < 0 || s.Index >= once.Shards {
		return
	}
	c.rows.overlay(s)
	if c.Records.UpdateShard(s, grace, c.now()) && s.Has(c.Records.Self) {
		c.wake()
	}
}
