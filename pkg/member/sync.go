package member

import (
	"slices"
	"time"
)

const (
	syncEvery = 10 * time.Second
	// syncQuick is the period while tables differ; with syncPackets full
	// datagrams each time a node that joins receives at most 8 KB a second.
	syncQuick   = 300 * time.Millisecond
	syncPackets = 2
	// quickRounds is how many comparisons follow quickly after one that changed
	// the table: a single member may know as little as this node.
	quickRounds = 3
	contacts    = 3
	seedEvery   = 10 * time.Second
	// maxSeeds bounds the addresses that are remembered.
	maxSeeds = 64
	// farSyncs is one in how many comparisons goes to another region.
	farSyncs = 10
)

// syncer compares tables with random members.
type syncer struct {
	next     time.Duration
	nextSeed time.Duration
	// quick is how many of the next comparisons follow quickly.
	quick int
	// seeds are addresses of forgotten members.
	seeds []string
}

func (s *syncer) remember(addr string) {
	if len(s.seeds) < maxSeeds && !slices.Contains(s.seeds, addr) {
		s.seeds = append(s.seeds, addr)
	}
}

// hasten makes the next comparisons follow quickly.
func (s *syncer) hasten(clock time.Duration) {
	s.quick = quickRounds
	s.next = min(s.next, clock+syncQuick)
}

// AddSeeds adds addresses that are asked while they belong to no member.
func (p *Protocol) AddSeeds(addrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addrs {
		p.sync.remember(a)
	}
}

// synchronize starts a comparison when it is due.
func (p *Protocol) synchronize() {
	if p.clock >= p.sync.nextSeed {
		p.sync.nextSeed = p.clock + seedEvery
		if len(p.peers.all) == 0 {
			p.sync.nextSeed = p.clock + syncQuick
		}
		p.askSeed()
	}
	if p.clock < p.sync.next || len(p.peers.all) == 0 || !p.pacer.allows() {
		return
	}
	p.sync.next = p.clock + syncEvery/2 + within(p.Rand, syncEvery)
	if p.sync.quick > 0 {
		p.sync.quick--
		p.sync.next = p.clock + syncQuick
	}
	list := p.peers.near
	if len(list) == 0 || len(p.peers.far) > 0 && p.Rand.IntN(farSyncs) == 0 {
		list = p.peers.far
	}
	p.compareWith(list)
}

// askSeed sends the own table's digest to a seed that is no member yet.
func (p *Protocol) askSeed() {
	var unknown []string
	for _, addr := range slices.Concat(p.Seeds, p.sync.seeds) {
		if addr != p.self.Addr && !slices.ContainsFunc(p.peers.all, func(m *Member) bool { return m.Addr == addr }) {
			unknown = append(unknown, addr)
		}
	}
	if len(unknown) == 0 {
		return
	}
	p.sendTo(Packet{Addr: unknown[p.Rand.IntN(len(unknown))], Class: ClassAntiEntropy}, p.digest())
}

func (p *Protocol) digest() Message {
	msg := p.header(KindDigest)
	msg.Digest = p.table.digest()
	msg.Members = []Member{p.self}
	return msg
}

func (p *Protocol) compareWith(list []*Member) {
	for _, m := range random(p.Rand, list, 1, "") {
		p.send(m, ClassAntiEntropy, p.digest())
	}
}

// compare answers a digest with records of the buckets that differ, and with
// the own digest in the first packet.
func (p *Protocol) compare(msg *Message, sender *Member) {
	p.sendBuckets(sender, p.table.differing(msg.Digest), true)
}

// complete answers with the own records of the buckets that still differ. A
// node that just learned something is behind and saves the bytes; the next
// comparison follows soon.
func (p *Protocol) complete(msg *Message, sender *Member, learned bool) {
	if !learned {
		p.sendBuckets(sender, p.table.differing(msg.Digest), false)
	}
}

// sendBuckets sends at most two packets of records, starting at a random one
// of the buckets, so that repeated comparisons cover all.
func (p *Protocol) sendBuckets(to *Member, buckets []int, first bool) {
	if len(buckets) == 0 {
		return
	}
	if !p.pacer.allows() {
		p.sendContacts(to)
		return
	}
	start := p.Rand.IntN(len(buckets))
	var records []*Member
	for i := range buckets {
		group := p.table.bucketRecords(buckets[(start+i)%len(buckets)])
		if i == 0 && len(group) > 0 {
			// A bucket may exceed the packets; its end must get a turn too.
			cut := p.Rand.IntN(len(group))
			group = slices.Concat(group[cut:], group[:cut])
		}
		records = append(records, group...)
	}
	for range syncPackets {
		msg := p.header(KindSync)
		size := 0
		if first {
			msg.Digest = p.table.digest()
			size = len(msg.Digest)
			first = false
		}
		for len(records) > 0 && size+recordSize(records[0]) <= newsBytes {
			size += recordSize(records[0])
			msg.Members = append(msg.Members, *records[0])
			records = records[1:]
		}
		p.send(to, ClassAntiEntropy, msg)
		if len(records) == 0 || !p.pacer.allows() {
			return
		}
	}
}

// sendContacts answers with a few members only. A seed that many nodes ask at
// once has no bytes for more, and they can ask the others for the rest.
func (p *Protocol) sendContacts(to *Member) {
	if !p.pacer.allowsSmall() {
		return
	}
	msg := p.header(KindSync)
	for _, m := range random(p.Rand, p.peers.all, contacts, to.ID) {
		msg.Members = append(msg.Members, *m)
	}
	p.send(to, ClassAntiEntropy, msg)
}
