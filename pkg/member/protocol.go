package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Interval is how often Tick should be called.
	Interval = 100 * time.Millisecond
	// maxStep is the longest time between two calls that counts as elapsed. After a
	// process was frozen or its clock jumped, other members must not time out.
	maxStep = 400 * time.Millisecond
	// tombstoneKeep is longer than removeAfter, so that a partitioned region does not
	// add dead members again when it rejoins. tombstoneSend is shorter than
	// tombstoneKeep, so that nodes do not send each other expired tombstones.
	tombstoneKeep = 2 * time.Hour
	tombstoneSend = time.Hour
	// removeAfter is how long unreachable members are kept.
	removeAfter = time.Hour
	expireEvery = time.Minute
	// DefaultRate is in bytes per second. With the burst of the pacer it keeps the
	// bytes sent in any second below 9 KB.
	DefaultRate = 6000
)

// Protocol is the membership protocol of one node as a state machine. Its inputs
// are received messages and ticks, each with the current time; its outputs are the
// packets to send. Set the exported fields before the first call. It is safe for
// concurrent use.
type Protocol struct {
	// Self is the record of the local member at start. ID and Addr must be set.
	Self Member
	// Seeds are addresses to join through. A seed is asked for members as long as no
	// known member has its address.
	Seeds []string
	// Rate limits the bytes sent per second; zero means DefaultRate.
	Rate int
	// Rand is the source of random choices; nil means one with a random seed.
	Rand *rand.Rand

	table Table

	mu      sync.Mutex
	started bool
	// self is the record of the local member.
	self Member
	// confirmed means that a peer acknowledged this incarnation. Before that, a
	// larger incarnation of the local ID means that the clock was set back; after
	// that, it means that this process was replaced.
	confirmed bool
	// replacedBy is the newer run with the local ID or address.
	replacedBy Ref
	// clock is the time since start without pauses and clock jumps.
	clock      time.Duration
	last       time.Time
	nextExpiry time.Duration
	// config is the highest configuration version received, and configFrom the member
	// that has it and was heard last: an earlier one may have stopped since.
	config     uint64
	configFrom Ref

	peers         peers
	rounds        rounds
	regionMonitor regionMonitor
	updateQueue   updateQueue
	sync          syncer
	pacer         pacer
	out           []Packet
}

// Table returns the membership table in this node's view.
func (p *Protocol) Table() *Table { return &p.table }

// Local returns the record of the local member.
func (p *Protocol) Local() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	return p.self
}

// Config returns the highest configuration version received and a member that has
// it.
func (p *Protocol) Config() (version uint64, from Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config, p.configFrom
}

// SetConfig sets the configuration version that this node has. Every message
// carries it. A few messages are sent only for this purpose: pings always go to the
// same members, so that a version would spread slowly along the ring of monitors.
func (p *Protocol) SetConfig(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	if version > p.self.Config {
		p.self.Config = version
		p.table.Merge(p.self)
		p.updateQueue.configSends = quickSends
	}
	p.noteConfig(version, p.self.Ref)
}

// Replaced returns the newer run that has the local ID or address. The process must
// then stop, because the other members ignore it.
func (p *Protocol) Replaced() (by Ref, replaced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replacedBy, p.replacedBy.ID != ""
}

// Update changes the local record and disseminates it. The function must not change
// ID, Incarnation or Seq.
func (p *Protocol) Update(now time.Time, change func(Member) Member) []Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.publish(change(p.self))
	p.spread()
	return p.flush()
}

// Leave sets the state of the local record to leaving and disseminates it.
func (p *Protocol) Leave(now time.Time) []Packet {
	return p.Update(now, func(m Member) Member { return m.WithState(StateLeaving) })
}

// AddMembers adds members that were read from the table service. Their records are
// not disseminated, since every node may read the same rows.
func (p *Protocol) AddMembers(now time.Time, members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	for _, m := range members {
		p.mergeRecord(m)
	}
}

// Tick runs the periodic work that is due and returns the packets to send.
func (p *Protocol) Tick(now time.Time) []Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	if p.self.ID == "" || p.replacedBy.ID != "" {
		return nil
	}
	p.refresh()
	p.probe()
	p.watchRegions()
	p.synchronize()
	p.spread()
	p.removeExpired()
	return p.flush()
}

// start initialises the state from the exported fields at the first call.
func (p *Protocol) start() {
	if p.started {
		return
	}
	p.started = true
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p.self = p.Self.normalized()
	if p.self.ID == "" {
		return
	}
	p.sync.quickLeft = quickRounds
	p.noteConfig(p.self.Config, p.self.Ref)
	p.publish(p.self)
}

// advance adds the time since the last call to the clock. A pause or a jump forward
// counts as one interval, a jump back as zero.
func (p *Protocol) advance(now time.Time) {
	p.start()
	step := now.Sub(p.last)
	switch {
	case p.last.IsZero() || step > maxStep:
		step = Interval
	case step < 0:
		step = 0
	}
	p.last = now
	p.clock += step
	p.table.setClock(p.clock)
	p.pacer.refill(step, p.Rate)
}

// publish sets a new version of the local record and queues it for dissemination.
func (p *Protocol) publish(m Member) {
	m.Ref = p.self.Ref
	m.Seq = p.self.Seq + 1
	p.self = m.normalized()
	p.table.Merge(p.self)
	p.updateQueue.add(p.self)
}

func (p *Protocol) noteConfig(version uint64, from Ref) {
	if version > p.config || version == p.config && version > p.self.Config {
		p.config, p.configFrom = version, from
	}
}

// removeExpired removes old tombstones, and members that were unreachable for longer
// than removeAfter. The addresses of the latter become seeds, so that a region that
// is reachable again is found.
func (p *Protocol) removeExpired() {
	if p.clock < p.nextExpiry {
		return
	}
	p.nextExpiry = p.clock + expireEvery
	p.table.remove(func(e *entry) bool {
		if e.tombstone() {
			return p.clock-e.since > tombstoneKeep
		}
		if !p.regionMonitor.expired(e.Region, p.clock) {
			return false
		}
		p.sync.addSeed(e.Addr)
		return true
	})
}

// header returns a message of the kind with the header set.
func (p *Protocol) header(kind Kind) Message {
	return Message{
		Kind: kind, From: p.self.ID, Incarnation: p.self.Incarnation,
		Seq: p.self.Seq, Config: p.self.Config,
	}
}

// send queues a message for a member.
func (p *Protocol) send(to *Member, class Class, m Message) {
	p.sendTo(Packet{To: to.ID, Addr: to.Addr, Region: to.Region, Class: class}, m)
}

func (p *Protocol) sendTo(packet Packet, m Message) {
	packet.Payload = m.Encode()
	p.pacer.take(len(packet.Payload) + Overhead)
	p.out = append(p.out, packet)
}

func (p *Protocol) flush() []Packet {
	out := p.out
	p.out = nil
	return out
}
