package member

import "time"

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
	// maxRelays are asked at a time about one silent member.
	maxRelays = 3
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

// relays returns how many relays are asked about each silent member. With many
// silent members each is asked about less: a monitor in the region of a lost
// failure domain would otherwise send more than 9 KB in a second.
func (r *rounds) relays(clock time.Duration) int {
	silent := 0
	for _, o := range r.list {
		if o.silent(clock) {
			silent++
		}
	}
	return max(maxRelays/max(silent, 1), 1)
}

// probe pings the watched members and concludes from missing answers.
func (p *Protocol) probe() {
	p.rounds.follow(&p.self, p.peers.near, p.clock, p.Rand)
	relays := p.rounds.relays(p.clock)
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
		p.insist(r, &m, relays)
	}
}

// insist pings and asks relays as the round's age requires. Relays are left out
// when the bytes are spent, but later than news: news that leaves no bytes for
// them causes wrong suspicions, and each refutation is more news.
func (p *Protocol) insist(r *round, m *Member, relays int) {
	open := p.clock - r.begun
	if open <= quickPings || p.clock-r.pinged >= slowPings {
		r.pinged = p.clock
		p.ping(m, r.nonce, "")
	}
	if p.clock-r.relayed >= relayEvery && p.pacer.allowsSmall() {
		r.relayed = p.clock
		p.askRelays(m, r.nonce, relays)
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
		msg.StateUpdates = []StateUpdate{verdict(m)}
	}
	p.send(m, ClassControl, msg)
}

func (p *Protocol) askRelays(m *Member, nonce uint32, relays int) {
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

func verdict(m *Member) StateUpdate { return StateUpdate{Ref: m.Ref, Seq: m.Seq, State: m.State} }
