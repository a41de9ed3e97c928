package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Table is the table of backend servers seen from one node. Its zero value
// works and treats all servers as local. It is safe for concurrent use.
type Table struct {
	// Config must not change after the first call of a method.
	Config

	mu    sync.Mutex
	ready bool
	// epoch is the first instant seen; instants are kept as time since then.
	epoch time.Time
	rng   rand.PCG
	pools map[string]*pool
}

// Upsert adds a server or changes its announced data. What was learned about
// a known server is kept; one that restarted is removed first, so that it
// starts cold.
func (t *Table) Upsert(s Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.prepare(now)
	p := t.pools[s.Service]
	if p == nil {
		p = newPool(&t.Config, at)
		t.pools[s.Service] = p
	}
	p.upsert(s, at)
}

// Remove forgets a server.
func (t *Table) Remove(service, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[service]
	if p == nil {
		return
	}
	p.remove(id)
	if len(p.entries) == 0 {
		delete(t.pools, service)
	}
}

// Services returns the names of all services with a server.
func (t *Table) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.pools))
}

// SetDraining says whether a server is leaving; a draining server receives no
// new requests.
func (t *Table) SetDraining(service, id string, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, e := t.find(service, id); e != nil {
		e.draining = draining
	}
}

// Tick expires old loads and refreshes the figures that servers share. It is
// called about every 10 ms.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.prepare(now)
	t.divide(at)
	for _, p := range t.pools {
		p.tick(at)
	}
}

// divide shares the places for servers between the services in use. A service
// that is not in use takes its share with its first request, until the next
// tick beside those of the others.
func (t *Table) divide(at time.Duration) {
	n := 0
	for _, p := range t.pools {
		if p.inUse(at) {
			n++
		}
	}
	for _, p := range t.pools {
		if p.inUse(at) {
			p.resize(t.share(n))
		} else {
			p.resize(t.share(n + 1))
		}
	}
}

// Snapshot returns the state of a service's servers as of the last call that
// told the time, sorted by ID.
func (t *Table) Snapshot(service string) []ServerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[service]
	if p == nil {
		return nil
	}
	p.rebuild()
	out := make([]ServerState, 0, len(p.entries))
	for _, e := range p.entries {
		out = append(out, p.state(e, t.epoch))
	}
	slices.SortFunc(out, func(a, b ServerState) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// prepare applies the defaults once and returns now as time since the epoch.
func (t *Table) prepare(now time.Time) time.Duration {
	if !t.ready {
		t.ready = true
		t.Config = t.withDefaults()
		t.epoch = now
		t.rng.Seed(t.Seed, xxhash.Sum64String(t.Node))
		t.pools = map[string]*pool{}
	}
	return now.Sub(t.epoch)
}

func (t *Table) find(service, id string) (*pool, *entry) {
	p := t.pools[service]
	if p == nil {
		return nil, nil
	}
	return p, p.byID[id]
}
