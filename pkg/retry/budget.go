// Package retry decides whether a request may be sent once more, and bounds
// what all retries of a chain of calls add to the load.
package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// DefaultRatio is the part of a retry that each first call earns. It bounds
	// the load on every hop to 1.1 times the load without retries: a retry at
	// any hop repeats at most the whole chain below it once.
	DefaultRatio = 0.1
	// grant is the most that one chain gets: one retry that travels, and one
	// that stays at the first entry for a lost answer or a hedge.
	grant = 2
)

// Budget is kept by the node at the first entry of a chain of calls. The zero
// value works.
//
// A service with a ratio of its own has a bucket of its own. All others share
// one, since a service with few calls alone would earn less than one retry
// before it lapses.
type Budget struct {
	mu       sync.Mutex
	shared   bucket
	services map[string]*bucket
	stats    Stats
}

// Stats counts the decisions of a Budget.
type Stats struct {
	Calls   uint64
	Granted uint64
	Spent   uint64
	Denied  uint64
}

// Grant counts one first call to the service and returns its allowance. All
// allowances together are at most the ratio of the calls counted. What Put gave
// back can be granted again, so while few calls fail nearly all of them get an
// allowance.
func (b *Budget) Grant(service string, ratio float64, deadline, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.bucket(service, ratio)
	tokens.earn(int64(math.Round(ratio*whole)), now)
	n := int64(0)
	if ratio > 0 {
		n = tokens.take(grant)
	}
	b.stats.Calls++
	b.stats.Granted += uint64(n)
	return Allowance{Retries: uint8(n), Deadline: deadline}
}

// Put takes back what is left of an allowance when its chain has ended at the
// first entry; service and ratio are those of the grant. It must not be called
// twice for one grant.
func (b *Budget) Put(service string, ratio float64, a Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int64(a.Retries), grant)
	b.stats.Granted -= min(uint64(n), b.stats.Granted)
	b.bucket(service, ratio).put(n)
}

func (b *Budget) bucket(service string, ratio float64) *bucket {
	if ratio == DefaultRatio {
		return &b.shared
	}
	if b.services == nil {
		b.services = make(map[string]*bucket)
	}
	return bounded(b.services, service, maxServices, func() *bucket { return &bucket{} })
}

// Spend takes one retry from the allowance if the rules permit one: the
// request is idempotent or provably did not run, the cause can differ
// elsewhere, and the deadline is ahead.
func (b *Budget) Spend(a Allowance, idempotent bool, c Cause, now time.Time) (Allowance, bool) {
	ok := a.Retries > 0 && repeatable(idempotent, c) && !a.expired(now)
	b.count(ok)
	if ok {
		a.Retries--
	}
	return a, ok
}

func (b *Budget) count(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.stats.Spent++
	} else {
		b.stats.Denied++
	}
}

func repeatable(idempotent bool, c Cause) bool {
	return c != Final && (idempotent || c.NotRun())
}

// Stats returns the counters since the start.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}
