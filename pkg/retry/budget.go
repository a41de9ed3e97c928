// Package retry decides whether a request may be retried or hedged, and limits the
// load that all retries of a chain of calls add.
package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// DefaultRatio is the fraction of a retry that each first call earns. It limits
	// the load on every hop to 1.1 times the load without retries, since a retry at
	// any hop repeats the rest of the chain at most once.
	DefaultRatio = 0.1
	// maxGrant is the largest allowance of one chain: one retry that is forwarded,
	// and one that stays at the entry node for a lost answer or a hedge.
	maxGrant = 2
)

// Budget is the retry budget that the entry node of a chain of calls keeps. The zero
// value is ready to use.
//
// A service whose ratio differs from DefaultRatio has a bucket of its own. All
// others share one, since a service with few calls would earn less than one retry
// before its tokens expire.
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
// allowances together are at most the ratio times the number of calls. Retries
// returned by Put can be granted again, so nearly all calls get an allowance while
// few of them fail.
func (b *Budget) Grant(service string, ratio float64, deadline, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.bucket(service, ratio)
	tokens.earn(int64(math.Round(ratio*tokenUnit)), now)
	n := int64(0)
	if ratio > 0 {
		n = tokens.take(maxGrant)
	}
	b.stats.Calls++
	b.stats.Granted += uint64(n)
	return Allowance{Retries: uint8(n), Deadline: deadline}
}

// Put returns the rest of an allowance to the budget when its chain has ended at the
// entry node. Service and ratio are those of the grant. It must not be called twice
// for one grant.
func (b *Budget) Put(service string, ratio float64, a Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int64(a.Retries), maxGrant)
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
	return getOrAdd(b.services, service, maxServices, func() *bucket { return &bucket{} })
}

// Spend takes one retry from the allowance if a retry is permitted: the request is
// idempotent or is known not to have run, another server may give another answer,
// and the deadline has not passed.
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

// Stats returns the counters since the process started.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}
