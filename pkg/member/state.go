package member

import "fmt"

// State is the state of a member in the view of a node.
type State uint8

// States of a member. Alive, draining and leaving are announced by the member
// itself; suspect and dead are detected by its monitors. Unreachable is a local
// state of the members of a region that cannot be reached; it is never sent.
const (
	StateAlive State = iota
	StateDraining
	StateLeaving
	StateSuspect
	StateDead
	StateUnreachable
)

var stateNames = [...]string{"alive", "draining", "leaving", "suspect", "dead", "unreachable"}

// String returns the name used in the operators' pages and in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// announced reports whether a member may announce the state itself.
func (s State) announced() bool { return s <= StateLeaving }

// rank returns the precedence of states in records with the same incarnation and
// Seq: dead overrides suspect, and suspect overrides the announced state.
func (s State) rank() int {
	switch s {
	case StateDead:
		return 2
	case StateSuspect:
		return 1
	default:
		return 0
	}
}
