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
	// Cost is the request's part in the fairness between tenants, from 1 to
	// MaxCost; zero means 1.
	Cost int
	// Waiter is returned with the entry when it starts, expires or is evicted,
	// so that the caller needs no table of its own.
	Waiter any
}

// MaxCost bounds a ticket's cost, and thereby the rounds to find the next one.
const MaxCost = 64

// Entry names one request in a Queue. An entry that has ended is never valid
// again, even after its place in the table was given to another request. The
// zero Entry is never valid.
type Entry struct {
	index      uint32
	generation uint32
	// Waiter is the ticket's.
	Waiter any
}

// Valid reports whether the entry was issued by a Queue.
func (e Entry) Valid() bool { return e.generation != 0 }

// Verdict is the decision on a ticket.
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

// Reason says why a ticket was refused.
type Reason uint8

// Reasons of a refusal.
const (
	None Reason = iota
	// Full means that the queue has no room for this tenant and class.
	Full
	// Late means that the expected wait passes the deadline.
	Late
	// Paused means that the backend server asked for a pause.
	Paused
	// Draining means that the backend server takes no new work.
	Draining

	reasons = int(Draining) + 1
)

// String returns the reason's name in decision logs.
func (r Reason) String() string {
	names := [reasons]string{"none", "full", "late", "paused", "draining"}
	return names[min(int(r), reasons-1)]
}

// Decision is the answer to a ticket.
type Decision struct {
	Verdict Verdict
	Reason  Reason
	// After is the expected wait for a slot, or the time until a refused
	// request is worth sending again.
	After time.Duration
	// Evicted is valid if a queued entry had to make room. It was not run and
	// is to be refused as Full.
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
		err = fault.New(kind, "the expected wait of %v passes the deadline", d.After)
	}
	if d.After > 0 {
		err = err.WithWait(d.After)
	}
	return err
}

// Load is what the node beside a backend server knows about it.
type Load struct {
	InFlight int
	Queued   int
	// Slots is the number of usable slots; it is lower after a cold start.
	Slots int
	// Latency estimates the service time.
	Latency time.Duration
	// Refusing is true while all new work is refused.
	Refusing bool
}

// Stats counts what became of all tickets since the start.
type Stats struct {
	Started uint64
	Expired uint64
	Evicted uint64
	Refused [reasons]uint64
}
