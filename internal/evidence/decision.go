// Package evidence records the latest routing decisions of a node, collects the
// decisions of all nodes about one request, and measures the effect of
// configuration changes.
package evidence

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Action is the action of a decision on a request.
type Action uint8

// Actions of an entry node, which is the node that a caller sends to. Refuse and
// Replay are also actions of the node beside the chosen server and of the owner
// of a key.
const (
	// Place is the first attempt of a request.
	Place Action = iota
	// Retry is an attempt after a failure. It uses up retry allowance.
	Retry
	// Handover is an attempt after another server refused the request.
	Handover
	// Hedge is a second attempt while the first is in flight.
	Hedge
	// Refuse means that the request was not run.
	Refuse
	// Replay means that a stored answer was sent again.
	Replay

	actions = int(Replay) + 1
)

var actionNames = [actions]string{"place", "retry", "handover", "hedge", "refuse", "replay"}

// String returns the name that operators see.
func (a Action) String() string { return name(actionNames[:], int(a)) }

// Actions returns the names of all actions in the order of their values.
func Actions() []string { return actionNames[:] }

// Result is the result of a decision.
type Result uint8

// Results of decisions. Running is the zero value, because a decision is recorded
// before its attempt starts.
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

// ResultOf converts the outcome of an attempt to a result.
func ResultOf(o routing.Outcome) Result {
	results := [...]Result{routing.Answered: Answered, routing.Failed: Failed, routing.Refused: Refused, routing.Lost: Lost, routing.Canceled: Canceled}
	if int(o) < len(results) {
		return results[o]
	}
	return Lost
}

// Decision is one routing decision of a node about a request. It has a fixed size,
// apart from Request, which shares the request's ID of up to 200 bytes.
type Decision struct {
	Request, Service, Class, Tenant string
	Action                          Action
	Result                          Result
	// Kind is the error kind of a refusal or failure, and empty otherwise.
	Kind fault.Kind
	// Choice holds the chosen server and the servers considered, the chosen one
	// first.
	Choice routing.Choice
	// At is the wall clock time of the decision. It is used only to sort and show
	// decisions.
	At time.Time
	// Latency is the time until the decision ended.
	Latency time.Duration
}
