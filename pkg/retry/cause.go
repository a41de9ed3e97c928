package retry

import "github.com/vanillasail/vanillasail/pkg/fault"

// Cause is what is known about an attempt that did not succeed.
type Cause uint8

const (
	// Final causes are never retried: the caller gave up, the deadline passed,
	// or the answer would be the same everywhere.
	Final Cause = iota
	// Failed means that the backend server answered with a failure.
	Failed
	// Lost means that no whole answer came; the request may have run.
	Lost
	// NotSent means that no byte of the request left, so it did not run.
	NotSent
	// Overloaded means that the far node refused it, so it did not run.
	Overloaded
	// Leaving means that the far node refused it because the node or its
	// server drains, so it did not run.
	Leaving
)

// String returns the cause's name in decision logs.
func (c Cause) String() string {
	return [...]string{"final", "failed", "lost", "not-sent", "overloaded", "leaving"}[min(c, Leaving)]
}

// NotRun reports whether the request provably did not run.
func (c Cause) NotRun() bool { return c >= NotSent }

// refused causes lead to a handover instead of a retry.
func (c Cause) refused() bool { return c >= Overloaded }

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

// notRun trusts a refusal only if it says that the request was not run.
func notRun(err *fault.Error, c Cause) Cause {
	if err.Outcome == fault.Refused {
		return c
	}
	return Lost
}
