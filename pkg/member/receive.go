package member

import (
	"encoding/binary"
	"time"
)

// maxNews bounds how many records of one anti-entropy message are spread
// further. More than that is a node that catches up, and the others know.
const maxNews = 16

// Receive handles one message that came from the address and returns the
// packets to send.
func (p *Protocol) Receive(now time.Time, payload []byte, addr string) ([]Packet, error) {
	msg, err := Decode(payload)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if p.self.ID == "" || p.replacedBy.ID != "" || msg.From == p.self.ID {
		return nil, nil
	}
	learned := p.take(msg)
	sender, _, _ := p.table.record(msg.From)
	if sender.Incarnation != msg.Incarnation {
		// The sender is unknown, or an older or newer run at another address.
		sender.ID, sender.Addr = msg.From, addr
	}
	p.answer(msg, &sender, learned)
	return p.flush(), nil
}

// take merges everything that a message says and reports whether a record was
// news.
func (p *Protocol) take(msg *Message) bool {
	var changed []Member
	for _, m := range msg.Members {
		if p.absorb(m) {
			changed = append(changed, m)
		}
	}
	if msg.Kind != KindSync || len(changed) <= maxNews && p.confirmed {
		for _, m := range changed {
			p.news.add(m)
		}
	}
	if msg.Kind == KindSync && len(changed) > 0 {
		p.sync.hasten(p.clock)
	}
	for _, v := range msg.StateUpdates {
		p.absorbVerdict(v)
	}
	for dead := msg.Dead; len(dead) >= markBytes; dead = dead[markBytes:] {
		if m, ok := p.table.marked(binary.BigEndian.Uint64(dead)); ok {
			p.absorbVerdict(StateUpdate{Ref: m.Ref, Seq: m.Seq, State: StateDead})
		}
	}
	for _, l := range msg.DomainFailures {
		p.absorbLoss(l)
	}
	if m, _, ok := p.table.record(msg.From); ok && m.Incarnation == msg.Incarnation && msg.Config > 0 {
		p.table.Merge(m.WithConfig(msg.Config))
		p.hearConfig(msg.Config, m.Ref)
	}
	return len(changed) > 0
}

// absorb merges one record and reports whether it was news. Tombstones of
// unknown members are not taken, since they would be renewed forever.
func (p *Protocol) absorb(m Member) bool {
	if m.ID == p.self.ID {
		p.hearSelf(m)
		return false
	}
	if m.Addr == p.self.Addr && m.Incarnation > p.self.Incarnation {
		p.outrun(m.Ref)
	}
	if _, _, known := p.table.record(m.ID); !known {
		if m.State == StateDead || p.table.holder(m.Addr) > m.Incarnation {
			return false
		}
	}
	return p.table.Merge(m)
}

func (p *Protocol) absorbVerdict(v StateUpdate) {
	if v.ID == p.self.ID {
		p.hearSelf(p.self.WithIncarnation(v.Incarnation).WithSeq(v.Seq).WithState(v.State))
		return
	}
	m, _, known := p.table.record(v.ID)
	if !known || m.Incarnation != v.Incarnation || m.Seq != v.Seq || v.State.rank() == 0 {
		return
	}
	if m = m.WithState(v.State); p.table.Merge(m) && v.State == StateDead {
		p.news.addDeath(m)
	}
}

// hearSelf refutes what others believe about this node.
func (p *Protocol) hearSelf(m Member) {
	switch {
	case m.Incarnation < p.self.Incarnation:
	case m.Incarnation > p.self.Incarnation:
		p.outrun(m.Ref)
	case m.Seq >= p.self.Seq && m.State.rank() > 0, m.Seq > p.self.Seq:
		p.self.Seq = m.Seq
		p.announce(p.self)
	}
}

// outrun handles a newer run of the own ID or address.
func (p *Protocol) outrun(by Ref) {
	if p.confirmed {
		p.replacedBy = by
		return
	}
	p.self.Incarnation = by.Incarnation + 1
	p.announce(p.self)
}

// answer replies to a message.
func (p *Protocol) answer(msg *Message, sender *Member, learned bool) {
	switch msg.Kind {
	case KindUpdate:
		p.completeLoss(msg, sender)
	case KindPing:
		p.acknowledge(msg, sender)
	case KindAck:
		p.acknowledged(msg, sender)
	case KindRelay:
		if m, _, ok := p.table.record(msg.Target); ok {
			p.ping(&m, msg.Nonce, msg.From)
		}
	case KindDigest:
		p.compare(msg, sender)
	case KindSync:
		p.complete(msg, sender, learned)
	}
	if msg.WantRecord && msg.Kind != KindPing {
		reply := p.header(KindUpdate)
		reply.Members = []Member{p.self}
		p.send(sender, ClassControl, reply)
	}
}

// acknowledge answers a ping. It also tells the sender when this node knows
// the sender's record wrongly: not at all, too old, or dead.
func (p *Protocol) acknowledge(msg *Message, sender *Member) {
	ack := p.header(KindAck)
	ack.Nonce, ack.Origin = msg.Nonce, msg.Origin
	ack.WantRecord = sender.Incarnation < msg.Incarnation || sender.Incarnation == msg.Incarnation && sender.Seq < msg.Seq
	if sender.Region == p.self.Region {
		ack.LastContacts = p.cross.ages(p.clock)
	}
	if msg.WantRecord || len(msg.StateUpdates) > 0 {
		ack.Members = append(ack.Members, p.self)
	}
	if m, _, _ := p.table.record(msg.From); m.Incarnation > msg.Incarnation {
		ack.Members = append(ack.Members, m)
	} else if sender.State.rank() > 0 {
		ack.StateUpdates = append(ack.StateUpdates, verdict(sender))
	}
	p.send(sender, ClassControl, ack)
}

// acknowledged counts an answer. Only an answer to an open round is evidence,
// so that a replayed datagram keeps nobody alive.
func (p *Protocol) acknowledged(msg *Message, sender *Member) {
	if msg.Origin != "" && msg.Origin != p.self.ID {
		p.forward(msg)
		return
	}
	target := msg.From
	if msg.Target != "" {
		target = msg.Target
	}
	if !p.acked(target, msg.Nonce) {
		return
	}
	if !msg.WantRecord {
		p.confirmed = true
	}
	if sender.Region == p.self.Region {
		p.cross.learn(msg.LastContacts, p.clock)
	}
}

// forward passes an acknowledgement on to the member that asked for the relay.
func (p *Protocol) forward(msg *Message) {
	origin, _, ok := p.table.record(msg.Origin)
	if !ok {
		return
	}
	ack := p.header(KindAck)
	ack.Nonce, ack.Origin, ack.Target, ack.Members = msg.Nonce, msg.Origin, msg.From, msg.Members
	p.send(&origin, ClassControl, ack)
}
