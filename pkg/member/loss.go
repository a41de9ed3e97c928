package member

import (
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// lossFrom is how many deaths of one failure domain are sent as a Loss; its
	// names need about as many bytes as the marks that it saves.
	lossFrom = 8
	// shortBits make differences between the sorted short marks of 178 members
	// fit into one byte mostly.
	shortBits  = 14
	shortBytes = 2
	// lossFanout is the receivers of each datagram with a Loss. Receivers answer
	// with what is missing, and with more of them the bytes would be spent before
	// the last deaths of the domain are concluded.
	lossFanout = 2
)

// DomainFailure names dead members of one failure domain by short marks. At 710 nodes
// the 178 deaths of a domain then have 250 bytes instead of 1,400.
//
// Few bits are enough because both ends leave out marks that two members of
// the domain share. A wrong member is named only if the sender does not know
// it, the receiver does not know the dead one, and their marks agree; it then
// refutes.
type DomainFailure struct {
	Region string `msgpack:"r"`
	Domain string `msgpack:"f"`
	Fingerprints  shorts `msgpack:"x"`
	// Complete means that the sender spreads no other death of the domain, so that
	// the receiver can answer with those that are missing.
	Complete bool `msgpack:"a,omitempty"`
}

// shorts are short marks, on the wire as differences in ascending order.
type shorts []uint16

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shorts) EncodeMsgpack(e *msgpack.Encoder) error {
	sorted := slices.Sorted(slices.Values(s))
	b := make([]byte, 0, 2*len(sorted))
	last := uint16(0)
	for _, m := range sorted {
		b = binary.AppendUvarint(b, uint64(m-last))
		last = m
	}
	return e.EncodeBytes(b)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *shorts) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	*s = nil
	last := uint64(0)
	for len(b) > 0 {
		step, n := binary.Uvarint(b)
		if last += step; n <= 0 || last >= 1<<shortBits {
			return eris.New("short marks are not valid")
		}
		*s = append(*s, uint16(last))
		b = b[n:]
	}
	return nil
}

func short(mark uint64) uint16 { return uint16(mark % (1 << shortBits)) }

func (l *DomainFailure) holds(m *Member) bool { return l.Region == m.Region && l.Domain == m.Domain }

func lossSize(m *Member) int { return len(m.Region) + len(m.Domain) + 16 }

// lost returns the message's Loss for the domain of the member, or nil.
func (m *Message) lost(dead *Member) *DomainFailure {
	for i := range m.DomainFailures {
		if m.DomainFailures[i].holds(dead) {
			return &m.DomainFailures[i]
		}
	}
	return nil
}

// addDeath adds the death of a member that receivers know.
func (m *Message) addDeath(i *item) {
	if !i.short {
		m.Dead = binary.BigEndian.AppendUint64(m.Dead, mark(&i.member))
		return
	}
	l := m.lost(&i.member)
	if l == nil {
		m.DomainFailures = append(m.DomainFailures, DomainFailure{Region: i.member.Region, Domain: i.member.Domain})
		l = &m.DomainFailures[len(m.DomainFailures)-1]
	}
	l.Fingerprints = append(l.Fingerprints, short(mark(&i.member)))
}

// domainOf names a failure domain; domains of two regions may share a name.
type domainOf struct{ region, domain string }

// shorten decides which of the changes are sent as parts of a Loss, and makes
// all deaths of a lost domain due together.
func (p *Protocol) shorten() {
	deaths := make(map[domainOf][]*item)
	for _, i := range p.news.items {
		i.short = false
		if !i.full {
			d := domainOf{i.member.Region, i.member.Domain}
			deaths[d] = append(deaths[d], i)
		}
	}
	for d, items := range deaths {
		if len(items) < lossFrom {
			continue
		}
		known := p.table.shorts(d.region, d.domain)
		next := items[0].next
		for _, i := range items {
			i.short = known[short(mark(&i.member))].Ref == i.member.Ref
			next = min(next, i.next)
		}
		for _, i := range items {
			i.next = next
		}
	}
}

// absorbLoss takes over the deaths of one failure domain.
func (p *Protocol) absorbLoss(l DomainFailure) {
	known := p.table.shorts(l.Region, l.Domain)
	for _, s := range l.Fingerprints {
		if m := known[s]; m.ID != "" {
			p.absorbVerdict(StateUpdate{Ref: m.Ref, Seq: m.Seq, State: StateDead})
		}
	}
}

// completeLoss answers with the deaths that the sender of a Loss does not know.
func (p *Protocol) completeLoss(msg *Message, sender *Member) {
	for n := range msg.DomainFailures {
		l := &msg.DomainFailures[n]
		if !l.Complete || !p.pacer.allowsSmall() {
			continue
		}
		var missing []*item
		for _, i := range p.news.items {
			if !i.full && l.holds(&i.member) && !msg.names(l, i) {
				missing = append(missing, i)
			}
		}
		if len(missing) > 0 {
			_, reply := p.pack(leastSent(missing))
			p.send(sender, ClassControl, reply)
		}
	}
}

// names reports whether the message tells the death.
func (m *Message) names(l *DomainFailure, i *item) bool {
	own := mark(&i.member)
	if _, found := slices.BinarySearch(l.Fingerprints, short(own)); found {
		return true
	}
	for dead := m.Dead; len(dead) >= markBytes; dead = dead[markBytes:] {
		if binary.BigEndian.Uint64(dead) == own {
			return true
		}
	}
	return false
}
