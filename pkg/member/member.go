// Package member implements decentralised cluster membership by gossip: records
// that can be merged in any order, a failure detector, dissemination of updates
// and anti-entropy. The package does no I/O, starts no goroutine and reads no
// clock.
package member

import (
	"fmt"
	"time"
)

// Ref identifies one run of one member. The zero value refers to no member.
type Ref struct {
	ID string `msgpack:"d"`
	// Incarnation increases with every start of the member.
	Incarnation uint64 `msgpack:"i"`
}

// String returns ID and incarnation in the form used in logs.
func (r Ref) String() string { return fmt.Sprintf("%s/%d", r.ID, r.Incarnation) }

// NextIncarnation returns the incarnation for a start at the given wall-clock time.
// It is larger than the highest one seen for the ID, since the clock may have been
// set back.
func NextIncarnation(seen uint64, wall time.Time) uint64 {
	return max(seen+1, uint64(max(wall.UnixMilli(), 0)))
}

// Member is the record of one member. It is immutable; the With methods return
// modified copies. Only the member itself changes its fields, except for State and
// Config, and increases Seq with each change.
type Member struct {
	Ref     `msgpack:",inline"`
	Addr    string `msgpack:"a"`
	Service string `msgpack:"s,omitempty"`
	Region  string `msgpack:"r,omitempty"`
	Domain  string `msgpack:"f,omitempty"`
	// Announced is the state that the member announced: alive, draining or leaving.
	Announced State `msgpack:"o,omitempty"`
	// State is the state in this node's view: Announced, or suspect, dead or
	// unreachable.
	State State `msgpack:"t,omitempty"`
	Slots int   `msgpack:"n,omitempty"`
	// Config is the highest configuration version received from this run.
	Config uint64 `msgpack:"c,omitempty"`
	// Seq orders the versions of the record that one incarnation publishes.
	Seq uint64 `msgpack:"q,omitempty"`
}

// WithAddr returns a copy with another address.
func (m Member) WithAddr(addr string) Member { m.Addr = addr; return m }

// WithService returns a copy that serves another service.
func (m Member) WithService(service string) Member { m.Service = service; return m }

// WithRegion returns a copy in another region.
func (m Member) WithRegion(region string) Member { m.Region = region; return m }

// WithDomain returns a copy in another failure domain.
func (m Member) WithDomain(domain string) Member { m.Domain = domain; return m }

// WithSlots returns a copy with another number of slots.
func (m Member) WithSlots(n int) Member { m.Slots = n; return m }

// WithConfig returns a copy with another configuration version.
func (m Member) WithConfig(version uint64) Member { m.Config = version; return m }

// WithSeq returns a copy with another sequence number.
func (m Member) WithSeq(seq uint64) Member { m.Seq = seq; return m }

// WithIncarnation returns a copy for another run of the member.
func (m Member) WithIncarnation(n uint64) Member { m.Incarnation = n; return m }

// WithState returns a copy with another state. Alive, draining and leaving also
// replace the announced state.
func (m Member) WithState(s State) Member {
	if s.announced() {
		m.Announced = s
	}
	m.State = s
	return m
}

// Accepts reports whether the member may receive new requests. A suspect member
// still receives them until it is dead, because most suspicions are refuted.
func (m Member) Accepts() bool {
	return m.Announced == StateAlive && (m.State == StateAlive || m.State == StateSuspect)
}
