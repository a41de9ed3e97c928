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

// Table is one node's table of backend servers. Its zero value is ready to use and
// treats all servers as local. It is safe for concurrent use.
type Table struct {
	// Config must not change after the first call of a method.
	Config

	mu    sync.Mutex
	ready bool
	// epoch is the time of the first call; all other times are stored relative to
	// it.
	epoch time.Time
	rng   rand.PCG
	pools map[string]*pool
}

// Upsert adds a server or changes its announced data. The measurements of a known
// server are kept. A server that restarted must be removed first, so that it starts
// cold.
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

// Remove removes a server and its measurements.
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

// Services returns the names of all services that have a server.
func (t *Table) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.pools))
}

// SetDraining sets whether a server is draining. A draining server receives no new
// requests.
func (t *Table) SetDraining(service, id string, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, e := t.find(service, id); e != nil {
		e.draining = draining
	}
}

// Tick decays old latencies and updates the subset sizes, mean loads and median run
// times. Call it about every 10 ms.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.prepare(now)
	t.divideSubsets(at)
	for _, p := range t.pools {
		p.tick(at)
	}
}

// divideSubsets divides Config.MaxServers between the services in use. The subset
// of a service that is not in use is sized as if it were one more service in use.
// From its first request until the next tick, it is used in addition to the other
// subsets.
func (t *Table) divideSubsets(at time.Duration) {
	n := 0
	for _, p := range t.pools {
		if p.inUse(at) {
			n++
		}
	}
	for _, p := range t.pools {
		if p.inUse(at) {
			p.setSubsetSize(t.subsetSize(n))
		} else {
			p.setSubsetSize(t.subsetSize(n + 1))
		}
	}
}

// Snapshot returns the state of a service's servers, sorted by ID, as of the latest
// call that passed a time.
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

// prepare applies the defaults once and returns now as the time since the epoch.
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
