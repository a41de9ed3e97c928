package member

import "time"

// A failed member is pinged within probeEvery, suspected suspectAfter later and
// declared dead deadAfter after the first ping. Dissemination takes up to a second
// more, so that all members know of the failure within 3 s.
const (
	probeEvery      = 500 * time.Millisecond
	quickPingPeriod = 200 * time.Millisecond
	slowPingEvery   = 200 * time.Millisecond
	relayEvery      = 200 * time.Millisecond
	silentAfter     = 300 * time.Millisecond
	suspectAfter    = 500 * time.Millisecond
	deadAfter       = 1400 * time.Millisecond
	// maxRelays is the number of relays that are asked at a time to ping one silent
	// member.
	maxRelays = 3
	// maxWatched limits the number of watched members, and with it the pings when
	// many members fail at once.
	maxWatched = 10
)

// round is one probe round: pings with the same nonce to a watched member until it
// acknowledges or is declared dead.
type round struct {
	id string
	// next is when the next round starts if none is open.
	next time.Duration
	// nonce identifies all pings of an open round; it is zero if none is open.
	nonce uint32
	// started is when the open round began.
	started time.Duration
	// pinged and relayed are when the last ping was sent and when relays were last
	// asked.
	pinged, relayed time.Duration
}

func (r *round) silent(clock time.Duration) bool {
	return r.nonce != 0 && clock-r.started >= silentAfter
}

// rounds holds the open or next round of each watched member.
type rounds struct {
	list []*round
}

// relays returns how many relays are asked to ping each silent member. It is lower
// with many silent members: a monitor in the region of a failed failure domain
// would otherwise send more than 9 KB in a second.
func (r *rounds) relays(clock time.Duration) int {
	silent := 0
	for _, o := range r.list {
		if o.silent(clock) {
			silent++
		}
	}
	return max(maxRelays/max(silent, 1), 1)
}

// probe pings the watched members and marks those that do not acknowledge as
// suspect, then as dead.
func (p *Protocol) probe() {
	p.rounds.selectMembers(&p.self, p.peers.near, p.clock, p.Rand)
	relays := p.rounds.relays(p.clock)
	for _, r := range p.rounds.list {
		m, tombstone, ok := p.table.record(r.id)
		if !ok || tombstone || r.nonce == 0 && p.clock < r.next {
			continue
		}
		if r.nonce == 0 {
			r.nonce, r.started, r.relayed = p.nonce(), p.clock, p.clock
		}
		open := p.clock - r.started
		if open >= deadAfter && m.State == StateSuspect {
			p.setState(m, StateDead)
			r.nonce = 0
			continue
		}
		if open >= suspectAfter && m.State != StateSuspect {
			m = p.setState(m, StateSuspect)
		}
		p.sendProbes(r, &m, relays)
	}
}

// sendProbes pings the member and asks relays, as the age of the round requires.
// Relays are skipped when the send budget is used up, but at a lower level than
// updates: if updates left no budget for relays, live members would be suspected,
// and each refutation is another update.
func (p *Protocol) sendProbes(r *round, m *Member, relays int) {
	open := p.clock - r.started
	if open <= quickPingPeriod || p.clock-r.pinged >= slowPingEvery {
		r.pinged = p.clock
		p.ping(m, r.nonce, "")
	}
	if p.clock-r.relayed >= relayEvery && p.pacer.allowsSmall() {
		r.relayed = p.clock
		p.askRelays(m, r.nonce, relays)
	}
}

// nonce returns a random nonce, so that a replayed acknowledgement matches no open
// round. It is never zero.
func (p *Protocol) nonce() uint32 { return p.Rand.Uint32() | 1 }

// setState records the state that this monitor detected. Only dead members are
// disseminated. A suspicion is needed by the monitor and by the suspect only, which
// receives it with the next ping. When a whole failure domain fails, disseminating
// both would double the bytes until all members know of the dead ones.
func (p *Protocol) setState(m Member, s State) Member {
	m = m.WithState(s)
	if p.table.Merge(m) && s == StateDead {
		p.updateQueue.addDeath(m)
	}
	return m
}

// ping sends a ping. It includes the state if the member is suspect or dead in this
// node's view, so that the member can refute it.
func (p *Protocol) ping(m *Member, nonce uint32, origin string) {
	msg := p.header(KindPing)
	msg.Nonce, msg.Origin = nonce, origin
	if m.State.rank() > 0 {
		msg.StateUpdates = []StateUpdate{stateUpdate(m)}
	}
	p.send(m, ClassControl, msg)
}

func (p *Protocol) askRelays(m *Member, nonce uint32, relays int) {
	list := p.peers.near
	if len(list) <= relays {
		list = p.peers.all
	}
	for _, relay := range sample(p.Rand, list, relays, m.ID) {
		msg := p.header(KindRelay)
		msg.Nonce, msg.Target = nonce, m.ID
		p.send(relay, ClassControl, msg)
	}
}

// acked closes the round with the nonce and reports whether there was one.
func (p *Protocol) acked(id string, nonce uint32) bool {
	for _, r := range p.rounds.list {
		if r.id == id && r.nonce != 0 && r.nonce == nonce {
			r.nonce, r.next = 0, r.started+probeEvery
			return true
		}
	}
	return p.regionMonitor.acked(id, nonce, p.clock)
}

func stateUpdate(m *Member) StateUpdate { return StateUpdate{Ref: m.Ref, Seq: m.Seq, State: m.State} }
