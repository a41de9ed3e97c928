package member

import "fmt"

// State is what is believed about a member.
type State uint8

// Alive, draining and leaving are announced by the member itself; suspect and
// dead are concluded by its monitors. Unreachable is only a local view of the
// members of a region that is cut off; it is never sent.
const (
	StateAlive State = iota
	StateDraining
	StateLeaving
	StateSuspect
	StateDead
	StateUnreachable
)

var stateNames = [...]string{"alive", "draining", "leaving", "suspect", "dead", "unreachable"}

// String returns the name that operators see.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// announced reports whether a member may claim the state about itself.
func (s State) announced() bool { return s <= StateLeaving }

// rank orders beliefs about the same announcement: death outranks suspicion,
// suspicion outranks what the member announced.
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
