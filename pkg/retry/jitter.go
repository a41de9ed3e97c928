package retry

import (
	"math/rand/v2"
	"time"
)

// MinWait is the shortest time after which a refused caller may retry. After less,
// the load has not changed yet.
const MinWait = 50 * time.Millisecond

// Jitter returns a random time between wait and twice wait, so that callers which
// were refused together do not retry together. Draw returns a random number below n;
// nil means rand.Int64N of math/rand/v2.
//
// Load pattern: an overload refuses hundreds of callers within milliseconds. If all
// of them retry after the same wait, they overload the server again.
func Jitter(wait time.Duration, draw func(n int64) int64) time.Duration {
	if draw == nil {
		draw = rand.Int64N
	}
	wait = max(wait, MinWait)
	return wait + time.Duration(draw(int64(wait)))
}
