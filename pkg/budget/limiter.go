// Package budget limits what measuring costs backend servers and the links
// between regions, in messages and bytes a second.
package budget

import (
	"maps"
	"sync"
	"time"
)

// Defaults of a Limiter whose rates were not set. The link's rate is the goal
// of 1 KB/s a node across regions.
var (
	DefaultServer = Rate{Messages: 20, Bytes: 4 << 10}
	DefaultLink   = Rate{Messages: 20, Bytes: 1 << 10}
)

const (
	// maxKeys bounds the memory: 710 servers and some links are far below it.
	maxKeys = 4096
	// idleTime after its last message, a key is forgotten and its counters are
	// kept in the total only.
	idleTime = 10 * time.Minute
)

// Limiter decides whether a message may be sent. The zero value applies
// DefaultServer and DefaultLink.
//
// Invariant: in no second, at any alignment, does a key spend more than its
// rate, even if the clock makes one step of any size in that second.
//
// The clock passed in counts for at most 125 ms between two calls, so Tick has
// to be called more often than that for the whole rate to be available.
type Limiter struct {
	mu        sync.Mutex
	clock     clock
	buckets   map[Key]*bucket
	overrides map[Key]Rate
	servers   *Rate
	links     *Rate
	forgotten Counters
	pruned    time.Duration
}

type bucket struct {
	window   window
	counters Counters
	rate     Rate
	used     time.Duration
}

// Allow spends one message of the class on all keys, or on none if one of them
// has not enough left. A message to a server in another region names the
// server and the link.
func (l *Limiter) Allow(c Class, bytes int, now time.Time, keys ...Key) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.clock.advance(now)
	size := int64(max(bytes, 0))
	if int(c) >= Classes {
		c = Probe
	}
	ok := true
	for i, k := range keys {
		ok = l.fits(k, c, size, elapsed) && !repeats(keys, i) && ok
	}
	for _, k := range keys {
		l.settle(k, c, size, ok)
	}
	return ok
}

// Count records a message that is sent whatever the budget says, so that
// messages of lower importance make room for it.
func (l *Limiter) Count(c Class, bytes int, now time.Time, k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fits(k, c, int64(max(bytes, 0)), l.clock.advance(now))
	l.settle(k, c, int64(max(bytes, 0)), l.buckets[k] != nil)
}

func (l *Limiter) fits(k Key, c Class, size int64, elapsed time.Duration) bool {
	b := l.bucket(k)
	if b == nil {
		return false
	}
	b.used = elapsed
	b.window.advance(elapsed)
	return k.unlimited() || b.window.fits(b.rate.share(c), size)
}

func (l *Limiter) settle(k Key, c Class, size int64, ok bool) {
	b := l.buckets[k]
	switch {
	case b == nil:
		l.forgotten.Denied[c].add(size)
	case !ok:
		b.counters.Denied[c].add(size)
	default:
		b.counters.Spent[c].add(size)
		b.window.add(size)
	}
}

// repeats reports whether the key occurs earlier. Each key is checked before
// any is spent, so a repeated key would pass with too little left.
func repeats(keys []Key, i int) bool {
	for _, k := range keys[:i] {
		if k == keys[i] {
			return true
		}
	}
	return false
}

// Tick moves the clock and forgets idle keys.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.clock.advance(now)
	if elapsed-l.pruned < idleTime/10 {
		return
	}
	l.pruned = elapsed
	for k, b := range l.buckets {
		if elapsed-b.used > idleTime {
			l.forgotten.merge(b.counters)
			delete(l.buckets, k)
		}
	}
}

// SetServers sets the rate of all servers without one of their own.
func (l *Limiter) SetServers(r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = &r
	l.refresh()
}

// SetLinks sets the rate of all links without one of their own.
func (l *Limiter) SetLinks(r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links = &r
	l.refresh()
}

// Override gives the keys rates of their own and takes them from all other
// keys. What was spent in the last second still counts against a new rate.
func (l *Limiter) Override(rates map[Key]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overrides = maps.Clone(rates)
	l.refresh()
}

// Rate returns the rate in force for the key.
func (l *Limiter) Rate(k Key) Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate(k)
}

// Counters returns what the key spent and denied since it was first used.
func (l *Limiter) Counters(k Key) Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[k]; b != nil {
		return b.counters
	}
	return Counters{}
}

// Evicted returns the counters of keys that were idle for so long that they
// are no longer kept, and of keys that found no room.
func (l *Limiter) Evicted() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}

// Total returns the sum over all keys in use, either of links or of servers.
func (l *Limiter) Total(links bool) Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	var total Counters
	for k, b := range l.buckets {
		if k.link == links {
			total.merge(b.counters)
		}
	}
	return total
}

// Keys appends the keys in use to buf.
func (l *Limiter) Keys(buf []Key) []Key {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.buckets {
		buf = append(buf, k)
	}
	return buf
}

func (l *Limiter) bucket(k Key) *bucket {
	if b := l.buckets[k]; b != nil {
		return b
	}
	if len(l.buckets) >= maxKeys {
		return nil
	}
	if l.buckets == nil {
		l.buckets = make(map[Key]*bucket)
	}
	b := &bucket{rate: l.rate(k)}
	l.buckets[k] = b
	return b
}

func (l *Limiter) refresh() {
	for k, b := range l.buckets {
		b.rate = l.rate(k)
	}
}

func (l *Limiter) rate(k Key) Rate {
	if r, ok := l.overrides[k]; ok {
		return r
	}
	rate, fallback := l.servers, DefaultServer
	if k.link {
		rate, fallback = l.links, DefaultLink
	}
	if rate == nil {
		return fallback
	}
	return *rate
}
