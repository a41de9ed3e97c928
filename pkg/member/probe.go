package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// A member that fails is pinged within probeEvery, suspected suspectAfter later
// and declared dead deadAfter after the ping; with a second for the news to
// reach all members this stays within 3 s.
const (
	probeEvery   = 500 * time.Millisecond
	quickPings   = 200 * time.Millisecond
	slowPings    = 200 * time.Millisecond
	relayEvery   = 200 * time.Millisecond
	silentAfter  = 300 * time.Millisecond
	suspectAfter = 500 * time.Millisecond
	deadAfter    = 1400 * time.Millisecond
	relays       = 3
	// maxWatched bounds the pings when many members fail at once.
	maxWatched = 10
)

// round is one attempt to hear from a watched member.
type round struct {
	id string
	// next is when the next round starts, unless one is open.
	next time.Duration
	// nonce is the same for all pings of an open round and zero otherwise.
	nonce uint32
	// begun is when the round was opened.
	begun time.Duration
	// pinged and relayed are when the last ping went out and when relays were
	// last asked.
	pinged, relayed time.Duration
}

func (r *round) silent(clock time.Duration) bool {
	return r.nonce != 0 && clock-r.begun >= silentAfter
}

// rounds are the open and coming rounds of the watched members.
type rounds struct {
	list []*round
}

// follow watches the next members on the ring until three of them answer. A
// silent member does not count: when a failure domain is lost, the members
// behind a row of dead ones must not wait for one verdict after the other.
func (r *rounds) follow(near []*Member, clock time.Duration, random *rand.Rand) {
	old := r.list
	r.list = nil
	answering, phase := 0, probeEvery
	for _, m := range near {
		if answering == monitors || len(r.list) == maxWatched {
			return
		}
		// Random phases keep the monitors of a member from pinging it at the
		// same moment.
		next := &round{id: m.ID, next: clock + within(random, phase)}
		if i := slices.IndexFunc(old, func(o *round) bool { return o.id == m.ID }); i >= 0 {
			next = old[i]
		}
		r.list = append(r.list, next)
		if next.silent(clock) {
			phase = Interval
		} else {
			answering++
		}
	}
}

// probe pings the watched members and concludes from missing answers.
func (p *Protocol) probe() {
	p.rounds.follow(p.peers.near, p.clock, p.Rand)
	for _, r := range p.rounds.list {
		m, tombstone, ok := p.table.record(r.id)
		if !ok || tombstone || r.nonce == 0 && p.clock < r.next {
			continue
		}
		if r.nonce == 0 {
			r.nonce, r.begun, r.relayed = p.nonce(), p.clock, p.clock
		}
		open := p.clock - r.begun
		if open >= deadAfter && m.State == StateSuspect {
			p.conclude(m, StateDead)
			r.nonce = 0
			continue
		}
		if open >= suspectAfter && m.State != StateSuspect {
			m = p.conclude(m, StateSuspect)
		}
		p.insist(r, &m)
	}
}

// insist pings and asks relays as the round's age requires. Relays cost most
// and are left out when the bytes are spent.
func (p *Protocol) insist(r *round, m *Member) {
	open := p.clock - r.begun
	if open <= quickPings || p.clock-r.pinged >= slowPings {
		r.pinged = p.clock
		p.ping(m, r.nonce, "")
	}
	if p.clock-r.relayed >= relayEvery && p.pacer.allows() {
		r.relayed = p.clock
		p.askRelays(m, r.nonce)
	}
}

// nonce is random so that a replayed acknowledgement matches no open round.
func (p *Protocol) nonce() uint32 { return p.Rand.Uint32() | 1 }

// conclude records a verdict. Only deaths are spread: a suspicion concerns the
// monitor and the suspect, which hears of it by ping. When a failure domain is
// lost, spreading both would double the bytes before the deaths are known.
func (p *Protocol) conclude(m Member, s State) Member {
	m = m.WithState(s)
	if p.table.Merge(m) && s == StateDead {
		p.news.addDeath(m)
	}
	return m
}

// ping tells a member what is believed about it, so that it can refute.
func (p *Protocol) ping(m *Member, nonce uint32, origin string) {
	msg := p.header(KindPing)
	msg.Nonce, msg.Origin = nonce, origin
	if m.State.rank() > 0 {
		msg.Verdicts = []Verdict{verdict(m)}
	}
	p.send(m, ClassControl, msg)
}

func (p *Protocol) askRelays(m *Member, nonce uint32) {
	list := p.peers.near
	if len(list) <= relays {
		list = p.peers.all
	}
	for _, relay := range random(p.Rand, list, relays, m.ID) {
		msg := p.header(KindRelay)
		msg.Nonce, msg.Target = nonce, m.ID
		p.send(relay, ClassControl, msg)
	}
}

// acked closes the round that the nonce belongs to.
func (p *Protocol) acked(id string, nonce uint32) bool {
	for _, r := range p.rounds.list {
		if r.id == id && r.nonce != 0 && r.nonce == nonce {
			r.nonce, r.next = 0, r.begun+probeEvery
			return true
		}
	}
	return p.cross.acked(id, nonce, p.clock)
}

func verdict(m *Member) Verdict { return Verdict{Ref: m.Ref, Seq: m.Seq, State: m.State} }
