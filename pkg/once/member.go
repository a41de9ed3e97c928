// Package once implements the idempotency records with which requests that
// carry an idempotency key run at most once. An owner and a backup replicate
// the records of each shard of keys. The pair changes only through a
// conditional write of a row of the table service. The package does no I/O.
package once

// Ref identifies one process by its node ID and the incarnation chosen at its
// start. No two processes have the same Ref.
type Ref struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// IsZero reports whether r identifies no process.
func (r Ref) IsZero() bool { return r.ID == "" }

// Member is a node that may be the owner or backup of a shard.
type Member struct {
	Ref
	Region string
	Domain string
}

// Status is the liveness of a process as observed by one node.
type Status uint8

const (
	// Alive means that the process responds.
	Alive Status = iota
	// Leaving means that the process still serves requests but is shutting down.
	Leaving
	// Dead means that the process does not respond. It may be paused or
	// partitioned, so it may still run requests.
	Dead
	// Replaced means that a newer incarnation of the node ID is known, which
	// proves that the process has ended.
	Replaced
)

// View is one node's view of the membership.
type View interface {
	// Status returns Dead for an unknown Ref.
	Status(r Ref) Status
	// Members returns the members that are eligible for shards.
	Members() []Member
}
