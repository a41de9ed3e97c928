package retry

import "time"

// Allowance is the number of retries that a request may still use, sent along its
// chain of calls. It is passed by value: a node that forwards a part of it must keep
// only the rest.
type Allowance struct {
	// Retries is the number of attempts beyond the first that the rest of the chain
	// may still make.
	Retries uint8 `msgpack:"r"`
	// Hop is the number of calls between the entry node of the chain and this
	// request.
	Hop uint8 `msgpack:"h"`
	// Deadline is a local time and is not sent to other nodes; the time left is sent
	// instead.
	Deadline time.Time `msgpack:"-"`
}

// WithRetries returns a copy with another number of retries.
func (a Allowance) WithRetries(n uint8) Allowance {
	a.Retries = n
	return a
}

// Left returns the time until the deadline, or zero if it has passed. Without a
// deadline it returns zero and false.
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

// split splits the allowance for a call to the next hop. A single retry is
// forwarded, since a retry close to the failure repeats the least work. Of several,
// one is kept, because the retries forwarded with a lost request are never
// returned.
func (a Allowance) split() (kept, forwarded Allowance) {
	forwarded = a
	forwarded.Hop = uint8(min(int(a.Hop)+1, 255))
	kept = a.WithRetries(0)
	if a.Retries > 1 {
		forwarded.Retries, kept.Retries = a.Retries-1, 1
	}
	return kept, forwarded
}
