package retry

import "time"

const (
	// tokenUnit is one token; buckets count in thousandths of a token.
	tokenUnit = 1000
	// tokenLifetime is the shortest time after which an unused token expires. It
	// prevents that the tokens of a busy hour are spent in one burst.
	tokenLifetime = 10 * time.Second
)

// bucket is a token bucket that earns a fraction of a token for each call.
//
// Invariant: tokens is at most the number earned in the current and the previous
// window, so the tokens taken never exceed the tokens earned.
type bucket struct {
	tokens            int64
	current, previous int64
	windowStart       time.Time
}

func (b *bucket) earn(thousandths int64, now time.Time) {
	switch d := now.Sub(b.windowStart); {
	case d < 0 || d >= 2*tokenLifetime:
		b.previous, b.current, b.windowStart = 0, 0, now
	case d >= tokenLifetime:
		b.previous, b.current, b.windowStart = b.current, 0, now
	}
	b.current += thousandths
	b.tokens = min(b.tokens+thousandths, b.previous+b.current)
}

func (b *bucket) take(n int64) int64 {
	n = min(n, b.tokens/tokenUnit)
	b.tokens -= n * tokenUnit
	return n
}

func (b *bucket) put(n int64) {
	b.tokens = min(b.tokens+n*tokenUnit, b.previous+b.current)
}
