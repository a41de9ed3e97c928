// Package routing holds one node's table of backend servers and chooses the server
// for each request.
//
// Load reports are always stale, so a decision combines the values that the node
// knows exactly (its own requests in flight and the time since a server's last
// answer) with the newest load received with an answer or a probe.
package routing

import "time"

// Server is a backend server as announced by the node beside it.
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

// Load is the load of a server, measured by the node beside it.
type Load struct {
	InFlight, Queued int
	// Slots replaces the announced number; 0 keeps it.
	Slots int
	// Latency is the smoothed run time of a request without the wait in the queue; 0
	// means unknown.
	Latency  time.Duration
	Refusing bool
	// Age is the time since the load was measured, at least the one-way delay.
	Age time.Duration
}

// Request holds the properties of a request that placement uses.
type Request struct {
	Service, Class, Tenant string
	// Exclude lists servers that were already tried or are currently unreachable.
	Exclude []string
	// Idempotent requests may serve as trial requests.
	Idempotent bool
	// Key identifies the request; it does not influence placement.
	Key uint64
}

// Outcome is the result of a request as observed by the entry node.
type Outcome uint8

const (
	// Answered means that the server answered without a server error.
	Answered Outcome = iota
	// Failed means that the server answered with a server error or reset the
	// connection.
	Failed
	// Refused means that the receiving node refused the request and did not run it.
	Refused
	// Lost means that no answer was received before the connection closed or the
	// deadline passed.
	Lost
	// Canceled means that the entry node canceled the request.
	Canceled
)

// Reason is the reason why a server was chosen.
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

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasons) {
		return reasons[r]
	}
	return "unknown"
}

// Considered is one server that a decision compared.
type Considered struct {
	ID string
	// Expected is the expected time to an answer.
	Expected time.Duration
	// Load is the estimated number of requests running and queued there.
	Load float32
	// Own is the number of this node's requests in flight there.
	Own int32
	// Age is the age of the newest load, or -1 when there was none.
	Age time.Duration
}

// Choice is the result of a decision, with up to four of the compared servers: the
// chosen one first, followed by the best others.
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
	// Latency is the estimated run time of a request.
	Latency time.Duration
	// Expected is the expected time to the answer of a new request.
	Expected time.Duration
	// Age is the age of the newest load, or -1 when there was none.
	Age time.Duration
	// Ramp is the share of the slots available during slow start, in (0, 1].
	Ramp     float64
	Draining bool
	// Subset is set if the server is in the subset that this node uses.
	Subset bool
	// State is serving, ejected or trial; Cause is why it was ejected.
	State, Cause string
}

// ProbeTarget is a server to be probed for its load.
type ProbeTarget struct {
	Service, ID, Region string
	// Speculative is set for probes that are dropped first when the measuring budget
	// is low.
	Speculative bool
}
