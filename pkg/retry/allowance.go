package retry

import "time"

// Allowance is the right to retry that travels with a request through its
// chain of calls. It is a value: whoever sends a part of it on has to keep the
// rest only.
type Allowance struct {
	// Retries is the number of attempts beyond the first that the chain below
	// may still make.
	Retries uint8 `msgpack:"r"`
	// Hop is the number of calls between the first entry and this request.
	Hop uint8 `msgpack:"h"`
	// Deadline is an instant of this process and does not travel; Left does.
	Deadline time.Time `msgpack:"-"`
}

// WithRetries returns a copy with another number of retries.
func (a Allowance) WithRetries(n uint8) Allowance {
	a.Retries = n
	return a
}

// Left returns the time until the deadline, at least zero. Without a deadline
// it returns zero and false.
func (a Allowance) Left(now time.Time) (time.Duration, bool) {
	if a.Deadline.IsZero() {
		return 0, false
	}
	return max(a.Deadline.Sub(now), 0), true
}

func (a Allowance) expired(now time.Time) bool {
	left, ok := a.Left(now)
	return ok && left == 0
}

// lend splits the allowance for a call to the next hop. A single retry goes
// along, since a retry next to the failure repeats the least work. Of more, one
// stays, because what was sent along with a lost request does not come back.
func (a Allowance) lend() (kept, lent Allowance) {
	lent = a
	lent.Hop = uint8(min(int(a.Hop)+1, 255))
	kept = a.WithRetries(0)
	if a.Retries > 1 {
		lent.Retries, kept.Retries = a.Retries-1, 1
	}
	return kept, lent
}
