// Package budget limits the measuring traffic to backend servers and on the links
// between regions, in messages and bytes per second.
package budget

import (
	"maps"
	"sync"
	"time"
)

// Default rates of a Limiter. The rate of a link is the design goal of 1 KB/s per
// node across regions.
var (
	DefaultServer = Rate{Messages: 20, Bytes: 4 << 10}
	DefaultLink   = Rate{Messages: 20, Bytes: 1 << 10}
)

const (
	// maxKeys bounds the memory. 710 servers and their links are far below it.
	maxKeys = 4096
	// idleTimeout is the time after its last message at which a key is evicted. Its
	// counters are then kept only as part of the sum of evicted keys.
	idleTimeout = 10 * time.Minute
)

// Limiter decides whether a message may be sent. The zero value applies
// DefaultServer and DefaultLink.
//
// Invariant: in any second, at any alignment, a key spends at most its rate, even
// if the clock makes one step of any size in that second.
//
// At most 125 ms are counted between two calls, so Tick must be called more often
// than that for the full rate to be available.
type Limiter struct {
	mu        sync.Mutex
	clock     clock
	buckets   map[Key]*bucket
	overrides map[Key]Rate
	servers   *Rate
	links     *Rate
	// evictedServers and evictedLinks hold the sums of the counters of evicted keys and of
	// keys beyond maxKeys, so that Total never falls.
	evictedServers, evictedLinks Counters
	lastPrune                    time.Duration
}

type bucket struct {
	window   window
	counters Counters
	rate     Rate
	lastUsed time.Duration
}

// Allow spends one message of the class on all keys, or on none if one of them does
// not have enough left. A message to a server in another region has two keys, the
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
		ok = l.fits(k, c, size, elapsed) && !isRepeated(keys, i) && ok
	}
	for _, k := range keys {
		l.record(k, c, size, ok)
	}
	return ok
}

// Count records a message that is sent regardless of the budget, so that less of the
// budget is left for messages of lower classes.
func (l *Limiter) Count(c Class, bytes int, now time.Time, k Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fits(k, c, int64(max(bytes, 0)), l.clock.advance(now))
	l.record(k, c, int64(max(bytes, 0)), l.buckets[k] != nil)
}

func (l *Limiter) fits(k Key, c Class, size int64, elapsed time.Duration) bool {
	b := l.bucket(k)
	if b == nil {
		return false
	}
	b.lastUsed = elapsed
	b.window.advance(elapsed)
	return k.unlimited() || b.window.fits(b.rate.share(c), size)
}

func (l *Limiter) record(k Key, c Class, size int64, ok bool) {
	b := l.buckets[k]
	switch {
	case b == nil:
		l.evicted(k).Denied[c].add(size)
	case !ok:
		b.counters.Denied[c].add(size)
	default:
		b.counters.Spent[c].add(size)
		b.window.add(size)
	}
}

// isRepeated reports whether keys[i] occurs earlier in keys. All keys are checked
// before any is charged, so a repeated key could otherwise exceed its rate.
func isRepeated(keys []Key, i int) bool {
	for _, k := range keys[:i] {
		if k == keys[i] {
			return true
		}
	}
	return false
}

// Tick advances the clock and evicts idle keys.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := l.clock.advance(now)
	if elapsed-l.lastPrune < idleTimeout/10 {
		return
	}
	l.lastPrune = elapsed
	for k, b := range l.buckets {
		if elapsed-b.lastUsed > idleTimeout {
			l.evicted(k).merge(b.counters)
			delete(l.buckets, k)
		}
	}
}

// SetServers sets the rate of all servers without an override.
func (l *Limiter) SetServers(r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = &r
	l.updateRates()
}

// SetLinks sets the rate of all links without an override.
func (l *Limiter) SetLinks(r Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.links = &r
	l.updateRates()
}

// Override replaces all overrides by the given rates. Messages sent in the last
// second still count against a new rate.
func (l *Limiter) Override(rates map[Key]Rate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overrides = maps.Clone(rates)
	l.updateRates()
}

// Rate returns the current rate of the key.
func (l *Limiter) Rate(k Key) Rate {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate(k)
}

// Counters returns the counters of the key since its first use.
func (l *Limiter) Counters(k Key) Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[k]; b != nil {
		return b.counters
	}
	return Counters{}
}

// Evicted returns the sum of the counters of evicted keys and of keys beyond the
// limit on their number.
func (l *Limiter) Evicted() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.evictedServers
	total.merge(l.evictedLinks)
	return total
}

// Total returns the sum of the counters of all links or of all servers since the start,
// including those of evicted keys.
func (l *Limiter) Total(links bool) Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := *l.evicted(Key{link: links})
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

// evicted returns the sum to which the counters of an evicted key are added.
func (l *Limiter) evicted(k Key) *Counters {
	if k.link {
		return &l.evictedLinks
	}
	return &l.evictedServers
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

func (l *Limiter) updateRates() {
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
