package admission

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Request describes a request that asks for a slot.
type Request struct {
	Class    string
	Tenant   string
	Deadline time.Time // zero means none
	// Cost is the request's weight in the fairness between tenants, from 1 to
	// MaxCost; zero means 1.
	Cost int
	// Waiter is returned with the entry when it starts, expires or is evicted, so
	// that the caller needs no table of its own.
	Waiter any
}

// MaxCost bounds a request's cost, and thereby the rounds to find the next one.
const MaxCost = 64

// Entry identifies one request in a Queue. An entry that has ended is never valid
// again, even after its place in the table has been reused. The zero Entry is never
// valid.
type Entry struct {
	index      uint32
	generation uint32
	// Waiter is that of the request.
	Waiter any
}

// Valid reports whether the entry was issued by a Queue.
func (e Entry) Valid() bool { return e.generation != 0 }

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Refuse means that the request was not run and is not queued.
	Refuse Verdict = iota
	// Start means that the request has a slot.
	Start
	// Wait means that the request is queued.
	Wait
)

// String returns the verdict's name in decision logs.
func (v Verdict) String() string {
	return [...]string{"refuse", "run", "wait"}[min(v, Wait)]
}

// Reason is why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	None Reason = iota
	// Full means that the queue has no room for this tenant and class.
	Full
	// Late means that the expected wait exceeds the deadline.
	Late
	// Paused means that the backend server asked for a pause.
	Paused
	// Draining means that the backend server takes no new requests.
	Draining

	reasons = int(Draining) + 1
)

// String returns the reason's name in decision logs.
func (r Reason) String() string {
	names := [reasons]string{"none", "full", "late", "paused", "draining"}
	return names[min(int(r), reasons-1)]
}

// Decision is the result of Queue.Enter.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// After is the expected wait for a slot, or the time after which a refused
	// request may be retried.
	After time.Duration
	// Evicted is valid if a queued entry was evicted to make room. It was not run
	// and must be refused as Full.
	Evicted Entry
}

// Err returns the refusal as a typed error, or nil.
func (d Decision) Err() *fault.Error {
	if d.Verdict != Refuse {
		return nil
	}
	kind := fault.KindOverloaded
	if d.Reason == Draining {
		kind = fault.KindDraining
	}
	err := fault.New(kind, "the backend server's queue is %s", d.Reason)
	if d.Reason == Late {
		err = fault.New(kind, "the expected wait of %v exceeds the deadline", d.After)
	}
	if d.After > 0 {
		err = err.WithWait(d.After)
	}
	return err
}

// Load is the load of a backend server as known to the node beside it.
type Load struct {
	InFlight int
	Queued   int
	// Slots is the number of usable slots; it is lower after a cold start.
	Slots int
	// Latency is the estimated service time.
	Latency time.Duration
	// Refusing is true while all new requests are refused.
	Refusing bool
}

// Stats counts the results of all requests since the start.
type Stats struct {
	Started uint64
	Expired uint64
	Evicted uint64
	Refused [reasons]uint64
}
