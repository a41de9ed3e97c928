package owner

import (
	"context"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/once"
)

// rows caches the shard maps that this node has used.
type rows struct {
	mu       sync.Mutex
	services map[string]*row
}

// row is the cached map of one service.
type row struct {
	// access serializes reads and writes of the table row; it holds one token.
	access chan struct{}

	// The fields below are guarded by rows.mu.
	m once.Map
	// etag is empty when the row was never read or is known to be stale.
	etag string
	read time.Time
	// failed and failure are the last failed read; failed is zero without one.
	failed  time.Time
	failure error
}

func (rs *rows) row(service string) *row {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.services == nil {
		rs.services = make(map[string]*row)
	}
	r := rs.services[service]
	if r == nil {
		r = &row{access: make(chan struct{}, 1)}
		rs.services[service] = r
	}
	return r
}

func (rs *rows) names() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	names := make([]string, 0, len(rs.services))
	for name := range rs.services {
		names = append(names, name)
	}
	return names
}

func (rs *rows) get(r *row) (m once.Map, etag string, read time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return r.m, r.etag, r.read
}

func (rs *rows) set(r *row, m once.Map, etag string, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.m, r.etag, r.read, r.failed = m, etag, now, time.Time{}
}

// cached returns the map if it was read after the given time, or the error of
// a read that failed after it.
func (rs *rows) cached(r *row, after time.Time) (m once.Map, ok bool, err error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(r.m.Shards) > 0 && r.read.After(after) {
		return r.m, true, nil
	}
	return once.Map{}, r.failed.After(after), r.failure
}

func (rs *rows) fail(r *row, err error, now time.Time) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.failed, r.failure = now, err
}

func (rs *rows) stale(r *row) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	r.etag = ""
}

// overlay replaces a shard that another node has told to be newer. The row is
// read again before the next write.
func (rs *rows) overlay(s once.Shard) {
	r := rs.row(s.Service)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(r.m.Shards) > s.Index && s.Index >= 0 && r.m.Shards[s.Index].Epoch < s.Epoch {
		r.m = r.m.With(s)
		r.etag = ""
	}
}

// lock waits for the right to access the table row.
func (r *row) lock(ctx context.Context) error {
	select {
	case r.access <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *row) unlock() { <-r.access }
