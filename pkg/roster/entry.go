// Package roster merges what nodes say of themselves, as it arrives late, twice
// or out of order, into one view of the nodes and their backend servers. It does
// no I/O.
package roster

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// State says whether a backend server takes new requests.
type State string

// States of a backend server.
const (
	// Absent means that the node knows no server beside it.
	Absent   State = ""
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Entry is what one node says of itself and the server beside it. It is
// immutable.
type Entry struct {
	// Node is the name of the node's host, unique and kept over restarts.
	Node string `msgpack:"n"`
	// Start orders the processes that had this name; it grows with each.
	Start int64 `msgpack:"s"`
	// Change orders the entries of one process.
	Change uint64 `msgpack:"c"`
	// Addr is where other nodes reach the node (IP:port).
	Addr   string `msgpack:"a"`
	Domain string `msgpack:"d"`
	Region string `msgpack:"r"`
	// Stopping nodes take no requests of other nodes.
	Stopping bool   `msgpack:"x,omitempty"`
	Service  string `msgpack:"v"`
	// Server names the running backend server; empty while none is known.
	Server string `msgpack:"i,omitempty"`
	Slots  int    `msgpack:"l,omitempty"`
	State  State  `msgpack:"t,omitempty"`
	// Leaving is set when the server itself has said that it leaves or is gone. It
	// binds the next process of this node too.
	Leaving bool `msgpack:"g,omitempty"`
	// Limit is the concurrency that the node found best; it outlasts a restart here.
	Limit int `msgpack:"m,omitempty"`
	// Clock is the registry's steady clock, seen before the first entry of this
	// process was written, of a process that starts with the whole system. Such a
	// process reads the list of nodes only a pause after that. Zero otherwise.
	Clock time.Duration `msgpack:"k,omitempty"`
	// WarmUp is the time that the server needed, at the time of the change, until it
	// is as fast as usual.
	WarmUp time.Duration `msgpack:"w,omitempty"`
}

const (
	// maxText bounds each name, so that a malformed entry takes no memory.
	maxText = 200
	// MaxSlots bounds the slots of a server that is to be believed.
	MaxSlots = 1 << 16
)

// Check reports why an entry names no node.
func (e Entry) Check() error {
	for _, s := range [...]string{e.Node, e.Addr, e.Domain, e.Region, e.Service} {
		if s == "" || len(s) > maxText {
			return fault.New(fault.KindBadRequest, "entry of node %.40q: a name is empty or longer than %d bytes", e.Node, maxText)
		}
	}
	if e.Slots < 0 || e.Slots > MaxSlots || e.Limit < 0 || e.Limit > MaxSlots || len(e.Server) > maxText {
		return fault.New(fault.KindBadRequest, "entry of node %q: %d slots are not between 0 and %d", e.Node, e.Slots, MaxSlots)
	}
	switch e.State {
	case Absent, Ready, Draining, Gone:
		return nil
	default:
		return fault.New(fault.KindBadRequest, "entry of node %q has the unknown state %.40q", e.Node, e.State)
	}
}

// Newer reports whether the entry replaces another one of the same node.
func (e Entry) Newer(old Entry) bool {
	if e.Start != old.Start {
		return e.Start > old.Start
	}
	return e.Change > old.Change
}

// Serves reports whether requests may be sent to the node's server.
func (e Entry) Serves() bool {
	return !e.Stopping && e.Server != "" && e.State == Ready
}
