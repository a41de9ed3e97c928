package member

import (
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// minGroupedDeaths is how many dead members of one failure domain are sent as a
	// DomainFailure. With fewer, the names of region and domain would take about as
	// many bytes as the shorter fingerprints save.
	minGroupedDeaths = 8
	// shortBits is the length of a short fingerprint. With 14 bits most differences
	// between the sorted short fingerprints of 178 members fit into one byte.
	shortBits  = 14
	shortBytes = 2
	// domainFailureFanout is the number of receivers of a datagram with a
	// DomainFailure. Receivers reply with the dead members that are missing in it.
	// With more receivers, the send budget would be used up before the last members
	// of the domain are declared dead.
	domainFailureFanout = 2
)

// DomainFailure lists dead members of one failure domain by short fingerprints. At
// 710 nodes the 178 dead members of a domain then take 250 bytes instead of 1,400.
//
// Short fingerprints are enough because sender and receiver both leave out those
// that two members of the domain share. A live member is marked as dead only if
// the sender does not know it, the receiver does not know the dead member, and
// their short fingerprints are equal. The live member then refutes its death.
type DomainFailure struct {
	Region       string            `msgpack:"r"`
	Domain       string            `msgpack:"f"`
	Fingerprints shortFingerprints `msgpack:"x"`
	// Complete means that the sender has no other dead members of the domain to
	// report, so that the receiver can reply with those that are missing.
	Complete bool `msgpack:"a,omitempty"`
}

// shortFingerprints is a list of short fingerprints. On the wire they are sorted
// and each is encoded as the difference from the one before it.
type shortFingerprints []uint16

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortFingerprints) EncodeMsgpack(e *msgpack.Encoder) error {
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
func (s *shortFingerprints) DecodeMsgpack(d *msgpack.Decoder) error {
	b, err := d.DecodeBytes()
	if err != nil {
		return err
	}
	*s = nil
	last := uint64(0)
	for len(b) > 0 {
		step, n := binary.Uvarint(b)
		if last += step; n <= 0 || last >= 1<<shortBits {
			return eris.New("short fingerprints are not valid")
		}
		*s = append(*s, uint16(last))
		b = b[n:]
	}
	return nil
}

func shortFingerprint(fp uint64) uint16 { return uint16(fp % (1 << shortBits)) }

func (l *DomainFailure) includes(m *Member) bool { return l.Region == m.Region && l.Domain == m.Domain }

func domainFailureSize(m *Member) int { return len(m.Region) + len(m.Domain) + 16 }

// domainFailure returns the message's entry for the failure domain of the dead
// member, or nil.
func (m *Message) domainFailure(dead *Member) *DomainFailure {
	for i := range m.DomainFailures {
		if m.DomainFailures[i].includes(dead) {
			return &m.DomainFailures[i]
		}
	}
	return nil
}

// addDeath adds a dead member whose record the receivers know.
func (m *Message) addDeath(i *update) {
	if !i.shortFingerprint {
		m.Dead = binary.BigEndian.AppendUint64(m.Dead, fingerprint(&i.member))
		return
	}
	l := m.domainFailure(&i.member)
	if l == nil {
		m.DomainFailures = append(m.DomainFailures, DomainFailure{Region: i.member.Region, Domain: i.member.Domain})
		l = &m.DomainFailures[len(m.DomainFailures)-1]
	}
	l.Fingerprints = append(l.Fingerprints, shortFingerprint(fingerprint(&i.member)))
}

// domainKey identifies a failure domain. Domains in different regions may have the
// same name.
type domainKey struct{ region, domain string }

// groupDeaths decides which updates are sent as parts of a DomainFailure, and makes
// the updates about all dead members of one failure domain due at the same time.
func (p *Protocol) groupDeaths() {
	deaths := make(map[domainKey][]*update)
	for _, i := range p.updateQueue.items {
		i.shortFingerprint = false
		if !i.full {
			d := domainKey{i.member.Region, i.member.Domain}
			deaths[d] = append(deaths[d], i)
		}
	}
	for d, items := range deaths {
		if len(items) < minGroupedDeaths {
			continue
		}
		known := p.table.domainMembers(d.region, d.domain)
		next := items[0].next
		for _, i := range items {
			i.shortFingerprint = known[shortFingerprint(fingerprint(&i.member))].Ref == i.member.Ref
			next = min(next, i.next)
		}
		for _, i := range items {
			i.next = next
		}
	}
}

// mergeDomainFailure marks the members listed in a DomainFailure as dead.
func (p *Protocol) mergeDomainFailure(l DomainFailure) {
	known := p.table.domainMembers(l.Region, l.Domain)
	for _, s := range l.Fingerprints {
		if m := known[s]; m.ID != "" {
			p.mergeState(StateUpdate{Ref: m.Ref, Seq: m.Seq, State: StateDead})
		}
	}
}

// replyMissingDeaths sends the dead members that a complete DomainFailure in the
// message does not list.
func (p *Protocol) replyMissingDeaths(msg *Message, sender *Member) {
	for n := range msg.DomainFailures {
		l := &msg.DomainFailures[n]
		if !l.Complete || !p.pacer.allowsSmall() {
			continue
		}
		var missing []*update
		for _, i := range p.updateQueue.items {
			if !i.full && l.includes(&i.member) && !msg.reports(l, i) {
				missing = append(missing, i)
			}
		}
		if len(missing) > 0 {
			_, reply := p.pack(sortBySends(missing))
			p.send(sender, ClassControl, reply)
		}
	}
}

// reports reports whether the message lists the dead member of the update.
func (m *Message) reports(l *DomainFailure, i *update) bool {
	fp := fingerprint(&i.member)
	if _, found := slices.BinarySearch(l.Fingerprints, shortFingerprint(fp)); found {
		return true
	}
	for dead := m.Dead; len(dead) >= fingerprintBytes; dead = dead[fingerprintBytes:] {
		if binary.BigEndian.Uint64(dead) == fp {
			return true
		}
	}
	return false
}
