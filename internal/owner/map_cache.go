package owner

import (
	"context"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/once"
)

// mapCache caches the shard maps of the services that this node has used.
type mapCache struct {
	mu      sync.Mutex
	entries map[string]*cachedMap
}

// cachedMap is the cache entry of one service.
type cachedMap struct {
	// access serializes reads and writes of the table row. It has capacity 1; a
	// channel lets a waiter give up when its context is done.
	access chan struct{}

	// The fields below are guarded by mapCache.mu.
	m once.Map
	// etag is empty if the row was never read, or if it may have changed since it
	// was read. The next write then reads the row first; m is still served.
	etag   string
	readAt time.Time
	// failedAt and readErr are the time and the error of the last failed read.
	// failedAt is zero if no read failed since the last success.
	failedAt time.Time
	readErr  error
}

func (mc *mapCache) entry(service string) *cachedMap {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if mc.entries == nil {
		mc.entries = make(map[string]*cachedMap)
	}
	e := mc.entries[service]
	if e == nil {
		e = &cachedMap{access: make(chan struct{}, 1)}
		mc.entries[service] = e
	}
	return e
}

func (mc *mapCache) services() []string {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	services := make([]string, 0, len(mc.entries))
	for name := range mc.entries {
		services = append(services, name)
	}
	return services
}

func (mc *mapCache) get(e *cachedMap) (m once.Map, etag string, readAt time.Time) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return e.m, e.etag, e.readAt
}

func (mc *mapCache) set(e *cachedMap, m once.Map, etag string, now time.Time) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	e.m, e.etag, e.readAt, e.failedAt = m, etag, now, time.Time{}
}

// cached returns the map if it was read after the given time, or else the error
// of a read that failed after that time. In both cases ok is true. If ok is false,
// the row must be read, and err has no meaning.
func (mc *mapCache) cached(e *cachedMap, after time.Time) (m once.Map, ok bool, err error) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if len(e.m.Shards) > 0 && e.readAt.After(after) {
		return e.m, true, nil
	}
	return once.Map{}, e.failedAt.After(after), e.readErr
}

func (mc *mapCache) setError(e *cachedMap, err error, now time.Time) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	e.failedAt, e.readErr = now, err
}

func (mc *mapCache) clearETag(e *cachedMap) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	e.etag = ""
}

// replaceShard replaces a cached shard by one of a later epoch that another node
// has sent. It clears the ETag, so that the next write reads the row first. The
// changed map is served until then.
func (mc *mapCache) replaceShard(s once.Shard) {
	e := mc.entry(s.Service)
	mc.mu.Lock()
	defer mc.mu.Unlock()
	if len(e.m.Shards) > s.Index && s.Index >= 0 && e.m.Shards[s.Index].Epoch < s.Epoch {
		e.m = e.m.With(s)
		e.etag = ""
	}
}

// lock waits for exclusive access to the table row.
func (e *cachedMap) lock(ctx context.Context) error {
	select {
	case e.access <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *cachedMap) unlock() { <-e.access }
