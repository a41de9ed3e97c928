package member

import (
	"encoding/binary"
	"time"
)

// maxForwarded is the largest number of changed records in an anti-entropy message
// that are disseminated further. With more, this node has been behind, and the
// others have the records already.
const maxForwarded = 16

// Receive handles one message from the address and returns the packets to send.
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
	changed := p.apply(msg)
	sender, _, _ := p.table.record(msg.From)
	if sender.Incarnation != msg.Incarnation {
		// The sender is unknown, or another run of it is in the table, which may have
		// another address.
		sender.ID, sender.Addr = msg.From, addr
	}
	p.respond(msg, &sender, changed)
	return p.flush(), nil
}

// apply merges the content of a message and reports whether any record changed.
func (p *Protocol) apply(msg *Message) bool {
	var changed []Member
	for _, m := range msg.Members {
		if p.mergeRecord(m) {
			changed = append(changed, m)
		}
	}
	if msg.Kind != KindSync || len(changed) <= maxForwarded && p.confirmed {
		for _, m := range changed {
			p.updateQueue.add(m)
		}
	}
	if msg.Kind == KindSync && len(changed) > 0 {
		p.sync.scheduleSoon(p.clock)
	}
	for _, v := range msg.StateUpdates {
		p.mergeState(v)
	}
	for dead := msg.Dead; len(dead) >= fingerprintBytes; dead = dead[fingerprintBytes:] {
		if m, ok := p.table.byFingerprint(binary.BigEndian.Uint64(dead)); ok {
			p.mergeState(StateUpdate{Ref: m.Ref, Seq: m.Seq, State: StateDead})
		}
	}
	for _, l := range msg.DomainFailures {
		p.mergeDomainFailure(l)
	}
	if m, _, ok := p.table.record(msg.From); ok && m.Incarnation == msg.Incarnation && msg.Config > 0 {
		p.table.Merge(m.WithConfig(msg.Config))
		p.noteConfig(msg.Config, m.Ref)
	}
	return len(changed) > 0
}

// mergeRecord merges one record and reports whether the table changed. Tombstones of
// unknown members are ignored, since nodes would otherwise renew each other's
// expired tombstones for ever.
func (p *Protocol) mergeRecord(m Member) bool {
	if m.ID == p.self.ID {
		p.refute(m)
		return false
	}
	if m.Addr == p.self.Addr && m.Incarnation > p.self.Incarnation {
		p.handleNewerRun(m.Ref)
	}
	if _, _, known := p.table.record(m.ID); !known {
		if m.State == StateDead || p.table.maxIncarnation(m.Addr) > m.Incarnation {
			return false
		}
	}
	return p.table.Merge(m)
}

func (p *Protocol) mergeState(v StateUpdate) {
	if v.ID == p.self.ID {
		p.refute(p.self.WithIncarnation(v.Incarnation).WithSeq(v.Seq).WithState(v.State))
		return
	}
	m, _, known := p.table.record(v.ID)
	if !known || m.Incarnation != v.Incarnation || m.Seq != v.Seq || v.State.rank() == 0 {
		return
	}
	if m = m.WithState(v.State); p.table.Merge(m) && v.State == StateDead {
		p.updateQueue.addDeath(m)
	}
}

// refute handles a record of the local member that another node sent. If it is as
// new as the local record with another state, or newer, the local one is published
// with a larger sequence number.
func (p *Protocol) refute(m Member) {
	switch {
	case m.Incarnation < p.self.Incarnation:
	case m.Incarnation > p.self.Incarnation:
		p.handleNewerRun(m.Ref)
	case m.Seq >= p.self.Seq && m.State.rank() > 0, m.Seq > p.self.Seq:
		p.self.Seq = m.Seq
		p.publish(p.self)
	}
}

// handleNewerRun handles a newer run with the local ID or address: this node was
// replaced, or needs a larger incarnation because its clock was set back.
func (p *Protocol) handleNewerRun(by Ref) {
	if p.confirmed {
		p.replacedBy = by
		return
	}
	p.self.Incarnation = by.Incarnation + 1
	p.publish(p.self)
}

// respond sends the response to a message, or forwards it.
func (p *Protocol) respond(msg *Message, sender *Member, changed bool) {
	switch msg.Kind {
	case KindUpdate:
		p.replyMissingDeaths(msg, sender)
	case KindPing:
		p.sendAck(msg, sender)
	case KindAck:
		p.handleAck(msg, sender)
	case KindRelay:
		if m, _, ok := p.table.record(msg.Target); ok {
			p.ping(&m, msg.Nonce, msg.From)
		}
	case KindDigest:
		p.replyDigest(msg, sender)
	case KindSync:
		p.replySync(msg, sender, changed)
	}
	if msg.WantRecord && msg.Kind != KindPing {
		reply := p.header(KindUpdate)
		reply.Members = []Member{p.self}
		p.send(sender, ClassControl, reply)
	}
}

// sendAck acknowledges a ping. It also lets the sender correct its record if this
// node does not have it, has an old one, or has the sender as suspect or dead.
func (p *Protocol) sendAck(msg *Message, sender *Member) {
	ack := p.header(KindAck)
	ack.Nonce, ack.Origin = msg.Nonce, msg.Origin
	ack.WantRecord = sender.Incarnation < msg.Incarnation || sender.Incarnation == msg.Incarnation && sender.Seq < msg.Seq
	if sender.Region == p.self.Region {
		ack.LastContacts = p.regionMonitor.lastContacts(p.clock)
	}
	if msg.WantRecord || len(msg.StateUpdates) > 0 {
		ack.Members = append(ack.Members, p.self)
	}
	if m, _, _ := p.table.record(msg.From); m.Incarnation > msg.Incarnation {
		ack.Members = append(ack.Members, m)
	} else if sender.State.rank() > 0 {
		ack.StateUpdates = append(ack.StateUpdates, stateUpdate(sender))
	}
	p.send(sender, ClassControl, ack)
}

// handleAck handles an acknowledgement. Only one with the nonce of an open round
// counts, so that a replayed datagram does not keep a dead member alive.
func (p *Protocol) handleAck(msg *Message, sender *Member) {
	if msg.Origin != "" && msg.Origin != p.self.ID {
		p.forwardAck(msg)
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
		p.regionMonitor.mergeContacts(msg.LastContacts, p.clock)
	}
}

// forwardAck forwards an acknowledgement to the member that requested the relay.
func (p *Protocol) forwardAck(msg *Message) {
	origin, _, ok := p.table.record(msg.Origin)
	if !ok {
		return
	}
	ack := p.header(KindAck)
	ack.Nonce, ack.Origin, ack.Target, ack.Members = msg.Nonce, msg.Origin, msg.From, msg.Members
	p.send(&origin, ClassControl, ack)
}
