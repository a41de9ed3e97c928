package outlier

import "time"

// State is the state of a server in outlier detection.
type State uint8

const (
	// Serving is the state of a server that receives requests normally.
	Serving State = iota
	// Ejected is the state of a server that receives no requests until its ejection
	// ends.
	Ejected
	// Trial is the state of a server that receives one trial request at a time.
	Trial
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Ejected:
		return "ejected"
	case Trial:
		return "trial"
	default:
		return "serving"
	}
}

// Cause is the reason why a server was ejected.
type Cause uint8

const (
	// CauseNone is the cause of a server that was not ejected.
	CauseNone Cause = iota
	// CauseFailures means that requests failed.
	CauseFailures
	// CauseSlow means that answers took much longer than those of the peers.
	CauseSlow
)

// String returns the name of the cause.
func (c Cause) String() string {
	switch c {
	case CauseFailures:
		return "failures"
	case CauseSlow:
		return "slow"
	default:
		return "none"
	}
}

// Record holds the outcomes and the state of one server. Its zero value is a serving
// server.
type Record struct {
	state State
	cause Cause
	// consecutiveFailures and consecutiveSlow count consecutive outcomes.
	consecutiveFailures, consecutiveSlow int
	// failureShare is the smoothed share of failures, in [0, 1].
	failureShare float64
	// samples counts the outcomes since the server entered Serving.
	samples int
	// ejectedUntil is the end of the ejection.
	ejectedUntil time.Time
	// ejectionTime is the length of the last ejection; zero after a long time of
	// service.
	ejectionTime time.Duration
	// eligibleRequests counts the requests since the ejection that could have been a
	// trial.
	eligibleRequests int
	// passedTrials counts the passed trials of this ejection.
	passedTrials int
	// trialStart is the start of the running trial; zero if none runs.
	trialStart time.Time
}

// State returns the state. A server whose ejection time is over is in Trial.
func (r *Record) State(now time.Time) State {
	if r.state == Ejected && !now.Before(r.ejectedUntil) {
		r.state = Trial
		r.passedTrials = 0
		r.trialStart = time.Time{}
	}
	return r.state
}

// Serving reports whether the server is in state Serving.
func (r *Record) Serving() bool { return r.state == Serving }

// Cause returns the cause of the current ejection.
func (r *Record) Cause() Cause { return r.cause }

// Until returns the end of the current ejection.
func (r *Record) Until() time.Time { return r.ejectedUntil }
