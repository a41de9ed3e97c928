package retry

import "time"

const (
	// whole is one token, counted in thousandths.
	whole = 1000
	// lapse is the shortest time after which an unused token is void. It keeps
	// what a busy hour saved from being spent in one burst.
	lapse = 10 * time.Second
)

// bucket earns a part of a token for each call.
//
// Invariant: tokens is at most what was earned in this window and the one
// before, so all that was ever taken is at most all that was ever earned.
type bucket struct {
	tokens           int64
	current, earlier int64
	since            time.Time
}

func (b *bucket) earn(thousandths int64, now time.Time) {
	switch d := now.Sub(b.since); {
	case d < 0 || d >= 2*lapse:
		b.earlier, b.current, b.since = 0, 0, now
	case d >= lapse:
		b.earlier, b.current, b.since = b.current, 0, now
	}
	b.current += thousandths
	b.tokens = min(b.tokens+thousandths, b.earlier+b.current)
}

func (b *bucket) take(n int64) int64 {
	n = min(n, b.tokens/whole)
	b.tokens -= n * whole
	return n
}

func (b *bucket) put(n int64) {
	b.tokens = min(b.tokens+n*whole, b.earlier+b.current)
}
