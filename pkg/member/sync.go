package member

import (
	"slices"
	"time"
)

const (
	syncEvery = 10 * time.Second
	// syncQuick is the interval while tables differ. With syncPackets full datagrams
	// each time, a joining node receives at most 8 KB a second.
	syncQuick   = 300 * time.Millisecond
	syncPackets = 2
	// quickRounds is how many comparisons follow at intervals of syncQuick after one
	// that changed the table. One is not enough, since the other member's table may be
	// as incomplete as the local one.
	quickRounds = 3
	sampleSize  = 3
	seedEvery   = 10 * time.Second
	// maxSeeds is the largest number of addresses in syncer.seeds.
	maxSeeds = 64
	// farSyncs is the number of comparisons of which one on average is with a member
	// of another region.
	farSyncs = 10
)

// syncer schedules comparisons of the table with those of random members.
type syncer struct {
	next     time.Duration
	nextSeed time.Duration
	// quickLeft is how many of the next comparisons follow at intervals of syncQuick.
	quickLeft int
	// seeds are addresses of removed members and those given to AddSeeds.
	seeds []string
}

func (s *syncer) addSeed(addr string) {
	if len(s.seeds) < maxSeeds && !slices.Contains(s.seeds, addr) {
		s.seeds = append(s.seeds, addr)
	}
}

// scheduleSoon schedules the next comparisons at intervals of syncQuick.
func (s *syncer) scheduleSoon(clock time.Duration) {
	s.quickLeft = quickRounds
	s.next = min(s.next, clock+syncQuick)
}

// AddSeeds adds addresses that are asked for members as long as no known member has
// them.
func (p *Protocol) AddSeeds(addrs ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addrs {
		p.sync.addSeed(a)
	}
}

// synchronize starts a comparison with a seed or a random member when it is due.
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
	p.sync.next = p.clock + syncEvery/2 + randomDuration(p.Rand, syncEvery)
	if p.sync.quickLeft > 0 {
		p.sync.quickLeft--
		p.sync.next = p.clock + syncQuick
	}
	list := p.peers.near
	if len(list) == 0 || len(p.peers.far) > 0 && p.Rand.IntN(farSyncs) == 0 {
		list = p.peers.far
	}
	p.compareWith(list)
}

// askSeed sends the digest of the local table to a seed that is not a member yet.
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
	for _, m := range sample(p.Rand, list, 1, "") {
		p.send(m, ClassAntiEntropy, p.digest())
	}
}

// replyDigest replies to a digest with records of the buckets that differ. The first
// packet also carries the digest of the local table.
func (p *Protocol) replyDigest(msg *Message, sender *Member) {
	p.sendBuckets(sender, p.table.differing(msg.Digest), true)
}

// replySync replies to a digest in a sync message with the local records of the
// buckets that differ. It does not reply if the message changed the table, since
// the local table is then the older one, and the next comparison follows soon.
func (p *Protocol) replySync(msg *Message, sender *Member, changed bool) {
	if !changed {
		p.sendBuckets(sender, p.table.differing(msg.Digest), false)
	}
}

// sendBuckets sends at most syncPackets packets of records, starting with a random
// bucket, so that repeated comparisons cover all buckets.
func (p *Protocol) sendBuckets(to *Member, buckets []int, first bool) {
	if len(buckets) == 0 {
		return
	}
	if !p.pacer.allows() {
		p.sendSample(to)
		return
	}
	start := p.Rand.IntN(len(buckets))
	var records []*Member
	for i := range buckets {
		group := p.table.bucketRecords(buckets[(start+i)%len(buckets)])
		if i == 0 && len(group) > 0 {
			// A bucket may hold more than the packets; starting at a random record
			// ensures that all of its records are sent in the end.
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
		for len(records) > 0 && size+recordSize(records[0]) <= messageBytes {
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

// sendSample replies with only a few members. A seed that many nodes ask at once
// lacks the send budget for more, and these nodes can ask the members in the reply
// for the rest.
func (p *Protocol) sendSample(to *Member) {
	if !p.pacer.allowsSmall() {
		return
	}
	msg := p.header(KindSync)
	for _, m := range sample(p.Rand, p.peers.all, sampleSize, to.ID) {
		msg.Members = append(msg.Members, *m)
	}
	p.send(to, ClassAntiEntropy, msg)
}
