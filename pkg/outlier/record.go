package outlier

import "time"

// State says whether a server takes requests.
type State uint8

const (
	// Serving is the state of a server that takes requests.
	Serving State = iota
	// Ejected is the state of a server that takes none until its time is over.
	Ejected
	// Trial is the state of a server that takes one request at a time.
	Trial
)

// String returns the state's name.
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

// Cause says why a server was ejected.
type Cause uint8

const (
	// CauseNone is the cause of a server that was not ejected.
	CauseNone Cause = iota
	// CauseFailures means that requests failed.
	CauseFailures
	// CauseSlow means that answers took much longer than those of the peers.
	CauseSlow
)

// String returns the cause's name.
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

// Record is what is kept of one server. Its zero value is a serving server.
type Record struct {
	state State
	cause Cause
	// failures and slow count outcomes in a row.
	failures, slow int
	// share is the smoothed share of failures, in [0, 1].
	share float64
	// samples counts outcomes since the server began to serve.
	samples int
	// until is the end of the ejection.
	until time.Time
	// out is the length of the last ejection; zero after a good period.
	out time.Duration
	// asked counts requests that could have been a trial since the ejection.
	asked int
	// passed counts good trials of this ejection.
	passed int
	// tried is the start of the running trial; zero when none runs.
	tried time.Time
}

// State returns the state; a server whose time is over is in Trial.
func (r *Record) State(now time.Time) State {
	if r.state == Ejected && !now.Before(r.until) {
		r.state = Trial
		r.passed = 0
		r.tried = time.Time{}
	}
	return r.state
}

// Serving reports whether the server takes requests without a trial.
func (r *Record) Serving() bool { return r.state == Serving }

// Cause returns the cause of the current ejection.
func (r *Record) Cause() Cause { return r.cause }

// Until returns the end of the current ejection.
func (r *Record) Until() time.Time { return r.until }
