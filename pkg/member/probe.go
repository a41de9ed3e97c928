package member

import (
	"math/rand/v2"
	"time"
)

// A member that fails is pinged within probeEvery, suspected suspectAfter later
// and declared dead deadAfter after the ping; with a second for the news to
// reach all members this stays within 3 s.
const (
	probeEvery   = 500 * time.Millisecond
	relayEvery   = 200 * time.Millisecond
	suspectAfter = 500 * time.Millisecond
	deadAfter    = 1400 * time.Millisecond
	relays       = 3
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
	// relayed is when relays were last asked.
	relayed time.Duration
}

// rounds are the open and coming rounds of the watched members.
type rounds struct {
	list []*round
}

// follow starts with random phases, so that the monitors of a member do not
// ping it at the same moment.
func (r *rounds) follow(watched []*Member, clock time.Duration, random *rand.Rand) {
	old := r.list
	r.list = nil
	for _, m := range watched {
		next := &round{id: m.ID, next: clock + within(random, probeEvery)}
		for _, o := range old {
			if o.id == m.ID {
				next = o
			}
		}
		r.list = append(r.list, next)
	}
}

// probe pings the watched members and concludes from missing answers.
func (p *Protocol) probe() {
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
		p.ping(&m, r.nonce, "")
		if p.clock-r.relayed >= relayEvery {
			r.relayed = p.clock
			p.askRelays(&m, r.nonce)
		}
	}
}

// nonce is random so that a replayed acknowledgement matches no open round.
func (p *Protocol) nonce() uint32 { return p.Rand.Uint32() | 1 }

func (p *Protocol) conclude(m Member, s State) Member {
	m = m.WithState(s)
	if p.table.Merge(m) {
		p.news.addVerdict(m)
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
