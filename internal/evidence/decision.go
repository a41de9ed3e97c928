// Package evidence keeps the last decisions of a node, collects what all nodes
// know about one request, and measures the effect of configuration changes.
package evidence

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Action is what a decision did with a request.
type Action uint8

// Actions of an entry node; Refuse and Replay are also actions of a far node
// and of the owner of a key.
const (
	// Place is the first send of a request.
	Place Action = iota
	// Retry is a send after a failure, taken from the retry allowance.
	Retry
	// Handover is a send after a refusal by another server.
	Handover
	// Hedge is a second send while the first is in flight.
	Hedge
	// Refuse means that the request was not run.
	Refuse
	// Replay means that a kept answer was given again.
	Replay

	actions = int(Replay) + 1
)

var actionNames = [actions]string{"place", "retry", "handover", "hedge", "refuse", "replay"}

// String returns the name that operators see.
func (a Action) String() string { return name(actionNames[:], int(a)) }

// Actions returns the names of all actions in the order of their values.
func Actions() []string { return actionNames[:] }

// Result is how a decision ended.
type Result uint8

// Results; Running is the zero value, because a decision is recorded before it
// takes effect.
const (
	Running Result = iota
	Answered
	Failed
	Refused
	Lost
	Canceled
	Replayed
)

var resultNames = [...]string{"running", "answered", "failed", "refused", "lost", "canceled", "replayed"}

// String returns the name that operators see.
func (r Result) String() string { return name(resultNames[:], int(r)) }

func name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "unknown"
}

// ResultOf returns the result for an outcome of placement.
func ResultOf(o routing.Outcome) Result {
	results := [...]Result{routing.Answered: Answered, routing.Failed: Failed, routing.Refused: Refused, routing.Lost: Lost, routing.Canceled: Canceled}
	if int(o) < len(results) {
		return results[o]
	}
	return Lost
}

// Decision is one step of a request at one node. It has a fixed size; Request is
// shared with the request, which may have 200 bytes for it.
type Decision struct {
	Request, Service, Class, Tenant string
	Action                          Action
	Result                          Result
	// Kind is the kind of error of a refusal or failure, or empty.
	Kind fault.Kind
	// Choice names the servers considered, the chosen one first.
	Choice routing.Choice
	// At is the time of the decision on the wall clock, for people only.
	At time.Time
	// Latency is the time until the decision ended.
	Latency time.Duration
}
