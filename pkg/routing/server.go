// Package routing holds the table of backend servers seen from one node and
// decides which of them takes a request.
//
// Load reports are always stale, so a decision combines what the node knows
// exactly (its own requests in flight, and how long a server has been silent)
// with the newest load that an answer or a probe carried.
package routing

import "time"

// Server is a backend server as its node announces it.
type Server struct {
	// ID is the ID of the node beside the server.
	ID      string
	Service string
	Region  string
	// Domain is the failure domain, unique within its region.
	Domain string
	// Slots is the number of requests the server runs at once; 0 means 1.
	Slots int
	// Weight scales Slots; 0 means 1.
	Weight float64
}

// Load is what the node beside a server knows about it.
type Load struct {
	InFlight, Queued int
	// Slots of 0 leaves the announced number in force.
	Slots int
	// Latency is the smoothed time the server takes to run a request, without
	// the wait in the queue; 0 means unknown.
	Latency  time.Duration
	Refusing bool
	// Age is the time since the load was read, at least the one-way delay.
	Age time.Duration
}

// Request is what placement needs to know about a request.
type Request struct {
	Service, Class, Tenant string
	// Exclude lists servers that were tried already or are unreachable now.
	Exclude []string
	// Idempotent requests may serve as trial requests.
	Idempotent bool
	// Key identifies the request; it takes no part in placement.
	Key uint64
}

// Outcome is the end of a request as the entry node saw it.
type Outcome uint8

const (
	// Answered means that the server answered without a server error.
	Answered Outcome = iota
	// Failed means that the server answered with a server error or reset the
	// connection.
	Failed
	// Refused means that the far node refused the request and did not run it.
	Refused
	// Lost means that no answer came: the connection or the deadline ended.
	Lost
	// Canceled means that the entry node gave the request up.
	Canceled
)

// Reason says why a server was chosen.
type Reason uint8

const (
	// ReasonBest means the lowest expected time among the servers considered.
	ReasonBest Reason = iota
	// ReasonOnly means that no other server could be considered.
	ReasonOnly
	// ReasonTrial means a trial request to an ejected server.
	ReasonTrial
	// ReasonDomain means the lowest expected time, in another failure domain
	// of the region.
	ReasonDomain
	// ReasonRegion means the lowest expected time, in another region.
	ReasonRegion
	// ReasonFallback means that every server that may be used is ejected.
	ReasonFallback
)

var reasons = [...]string{"best", "only", "trial", "domain", "region", "fallback"}

// String returns the reason's name.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "unknown"
}

// Considered is one server that a decision compared.
type Considered struct {
	ID string
	// Expected is the time in which an answer was expected.
	Expected time.Duration
	// Load is the estimated number of requests running and queued there.
	Load float32
	// Own is the number of this node's requests in flight there.
	Own int32
	// Age is the age of the newest load, or -1 when there was none.
	Age time.Duration
}

// Choice is the result of a decision, with up to four of the best servers that
// were compared, the chosen one first.
type Choice struct {
	ID         string
	Reason     Reason
	Considered [4]Considered
	// N is the number of valid entries in Considered.
	N int
}

// ServerState is the state of one server in a snapshot.
type ServerState struct {
	Server
	// Own is the number of this node's requests in flight there.
	Own int
	// Load is the estimated number of requests running and queued there.
	Load float64
	// Latency is the estimated time the server takes to run a request.
	Latency time.Duration
	// Expected is the time in which an answer to a new request is expected.
	Expected time.Duration
	// Age is the age of the newest load, or -1 when there was none.
	Age time.Duration
	// Ramp is the share of the slots open to a cold server, in (0, 1].
	Ramp     float64
	Draining bool
	// Subset tells whether this node uses the server.
	Subset bool
	// State is serving, ejected or trial; Cause is why it was ejected.
	State, Cause string
}

// ProbeTarget is a server whose load should be asked for.
type ProbeTarget struct {
	Service, ID, Region string
	// Speculative probes are the first that a spent budget drops.
	Speculative bool
}
