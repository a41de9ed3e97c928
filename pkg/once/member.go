// Package once keeps the records that make keyed requests run at most once.
// The records of a shard live at an owner and a backup; the pair changes only
// by a conditional write of a table row. The package does no I/O.
package once

// Ref names one process: a node's ID and the incarnation chosen at its start.
// Two processes never share a Ref.
type Ref struct {
	ID          string `msgpack:"i"`
	Incarnation uint64 `msgpack:"n"`
}

// IsZero reports whether the Ref names no process.
func (r Ref) IsZero() bool { return r.ID == "" }

// Member is a node that may hold a shard.
type Member struct {
	Ref
	Region string
	Domain string
}

// Status is what a node knows about a process named by a Ref.
type Status uint8

const (
	// Alive means that the process answers.
	Alive Status = iota
	// Leaving means that the process works but is about to stop.
	Leaving
	// Dead means that the process does not answer; it may be paused or behind
	// a partition and may still run requests.
	Dead
	// Replaced means that a newer incarnation of the ID is known, so that the
	// process does not exist any more.
	Replaced
)

// View is a node's knowledge of the members.
type View interface {
	// Status returns Dead for a Ref that is not known.
	Status(r Ref) Status
	// Members returns the members that may be given a shard.
	Members() []Member
}
