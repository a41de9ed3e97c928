package retry

import (
	"math/rand/v2"
	"time"
)

// MinWait is the shortest time after which a refused caller may come back; less
// would return before anything has changed.
const MinWait = 50 * time.Millisecond

// Jitter returns a time between a wait and twice that, so that callers which were
// turned away together come back apart. Draw returns a random number below n; nil
// means that of math/rand.
//
// Load pattern: an overload turns hundreds of callers away within milliseconds, and
// if all return after the same wait they meet it again.
func Jitter(wait time.Duration, draw func(n int64) int64) time.Duration {
	if draw == nil {
		draw = rand.Int64N
	}
	wait = max(wait, MinWait)
	return wait + time.Duration(draw(int64(wait)))
}
