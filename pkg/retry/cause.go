package retry

import "github.com/vanillasail/vanillasail/pkg/fault"

// Cause classifies why an attempt did not succeed.
type Cause uint8

const (
	// Final causes are never retried: the caller gave up, the deadline passed, or
	// every server would give the same answer.
	Final Cause = iota
	// Failed means that the backend server answered with an error.
	Failed
	// Lost means that no complete answer was received; the request may have run.
	Lost
	// NotSent means that no byte of the request was sent, so it did not run.
	NotSent
	// Overloaded means that the receiving node refused the request because of
	// overload, so it did not run.
	Overloaded
	// Leaving means that the receiving node refused the request because the node or
	// its server is draining, so it did not run.
	Leaving
)

// String returns the name of the cause in decision logs.
func (c Cause) String() string {
	return [...]string{"final", "failed", "lost", "not-sent", "overloaded", "leaving"}[min(c, Leaving)]
}

// NotRun reports whether the request is known not to have run.
func (c Cause) NotRun() bool { return c >= NotSent }

// CauseOf classifies the error of an attempt.
func CauseOf(err *fault.Error) Cause {
	switch err.Kind {
	case fault.KindDraining, fault.KindStopped:
		return notRun(err, Leaving)
	case fault.KindOverloaded:
		return notRun(err, Overloaded)
	case fault.KindUnreachable, fault.KindCutShort, fault.KindServerLost, fault.KindNoServer:
		return notRun(err, NotSent)
	default:
		return Final
	}
}

// notRun returns c if the error states that the request was not run, otherwise Lost.
func notRun(err *fault.Error, c Cause) Cause {
	if err.Outcome == fault.Refused {
		return c
	}
	return Lost
}
