// Package roster merges the entries that nodes publish, which may arrive late, twice
// or out of order, into one view of the nodes and their backend servers. It does no
// I/O.
package roster

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// State is whether a backend server accepts new requests.
type State string

// States of a backend server.
const (
	// Absent means that the node knows of no server beside it.
	Absent   State = ""
	Ready    State = "ready"
	Draining State = "draining"
	Gone     State = "gone"
)

// Entry is the published state of one node and the server beside it. It is
// immutable.
type Entry struct {
	// Node is the name of the node's host, unique and kept over restarts.
	Node string `msgpack:"n"`
	// Start orders the processes that have used this name; it grows with each.
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
	// Relaying is how long this host takes to read and decode a configuration of 1 MB, by
	// the limits of its link and processor. Zero, where they are not known, counts as
	// longest.
	Relaying time.Duration `msgpack:"p,omitempty"`
	// Server names the running backend server; empty while none is known.
	Server string `msgpack:"i,omitempty"`
	Slots  int    `msgpack:"l,omitempty"`
	State  State  `msgpack:"t,omitempty"`
	// Leaving is set when the server itself has reported that it is leaving or gone.
	// It also applies to the next process of this node.
	Leaving bool `msgpack:"g,omitempty"`
	// Born is the start time of a leaving server, which tells it from a later process of
	// the same name; zero where it is not known or the server is not leaving.
	Born int64 `msgpack:"b,omitempty"`
	// Limit is the concurrency limit that the node found. It is kept here so that a
	// restart does not lose it.
	Limit int `msgpack:"m,omitempty"`
	// Clock is the registry's monotonic clock, read before the first entry of a
	// process that starts together with the whole system. Such a process reads the
	// list of nodes only after a pause from that time. Zero for all other processes.
	Clock time.Duration `msgpack:"k,omitempty"`
	// WarmUp is the time that the server needed, at the time of the change, until it
	// runs at its usual speed.
	WarmUp time.Duration `msgpack:"w,omitempty"`
}

const (
	// maxText bounds each name, so that a malformed entry takes no memory.
	maxText = 200
	// MaxSlots is the largest number of slots that is accepted from a server.
	MaxSlots = 1 << 16
)

// Check returns an error if the entry does not describe a node.
func (e Entry) Check() error {
	for _, s := range [...]string{e.Node, e.Addr, e.Domain, e.Region, e.Service} {
		if !isName(s) {
			return fault.New(fault.KindBadRequest, "entry of node %.40q: a name is empty, longer than %d bytes, or has control characters", e.Node, maxText)
		}
	}
	if e.Server != "" {
		if err := CheckServerID(e.Server); err != nil {
			return err
		}
	}
	if e.Relaying < 0 {
		return fault.New(fault.KindBadRequest, "entry of node %q: the time of a configuration is %s", e.Node, e.Relaying)
	}
	if e.Slots < 0 || e.Slots > MaxSlots || e.Limit < 0 || e.Limit > MaxSlots {
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
