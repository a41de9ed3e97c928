// Package retry decides whether a request may be sent once more, and bounds
// what all retries of a chain of calls add to the load.
package retry

import (
	"sync"
	"time"
)

const (
	// share is the part of a retry that each first call earns, in thousandths.
	// It bounds the load on every hop to 1.1 times the load without retries: a
	// retry at any hop repeats at most the whole chain below it once.
	share = 100
	// grant is the most that one chain gets: one retry that travels, and one
	// that stays at the first entry for a lost answer or a hedge.
	grant = 2
)

// Budget is kept by the node at the first entry of a chain of calls. The zero
// value works.
type Budget struct {
	mu     sync.Mutex
	bucket bucket
	stats  Stats
}

// Stats counts the decisions of a Budget.
type Stats struct {
	Calls   uint64
	Granted uint64
	Spent   uint64
	Denied  uint64
}

// Grant counts one first call and returns its allowance. All allowances
// together are at most 10 % of the calls counted. What Put gave back can be
// granted again, so while few calls fail nearly all of them get an allowance.
func (b *Budget) Grant(deadline, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket.earn(share, now)
	n := b.bucket.take(grant)
	b.stats.Calls++
	b.stats.Granted += uint64(n)
	return Allowance{Retries: uint8(n), Deadline: deadline}
}

// Put takes back what is left of an allowance when its chain has ended at the
// first entry. It must not be called twice for one grant.
func (b *Budget) Put(a Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int64(a.Retries), grant)
	b.stats.Granted -= min(uint64(n), b.stats.Granted)
	b.bucket.put(n)
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
