package member

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Interval is how often Tick should be called.
	Interval = 100 * time.Millisecond
	// maxStep is the longest pause that counts as time. A process that was
	// frozen, or whose clock jumped, must not count the pause against others.
	maxStep = 400 * time.Millisecond
	// tombstoneKeep is longer than forgetAfter, so that a region that was cut
	// off does not bring dead members back. tombstoneSend is shorter than
	// tombstoneKeep, so that nodes do not renew expired tombstones.
	tombstoneKeep = 2 * time.Hour
	tombstoneSend = time.Hour
	// forgetAfter is how long unreachable members are kept.
	forgetAfter = time.Hour
	expireEvery = time.Minute
	// DefaultRate and the burst of the pacer keep every second within 9 KB.
	DefaultRate = 6000
)

// Protocol is one node's side of the membership protocol, as a state machine:
// messages and ticks go in with the time, packets to send come out. Set the
// exported fields before the first call. It is safe for concurrent use.
type Protocol struct {
	// Self is the own record at start; ID and Addr are not empty.
	Self Member
	// Seeds are addresses that are asked while no member is known.
	Seeds []string
	// Rate bounds the bytes a second that are sent; zero means DefaultRate.
	Rate int
	// Rand is the source of random choices; nil means a random seed.
	Rand *rand.Rand

	table Table

	mu      sync.Mutex
	started bool
	// self is the own record; only refute, Update and Leave change it.
	self Member
	// confirmed means that a peer acknowledged this incarnation. Before that a
	// larger incarnation of the own ID means that the clock was set back;
	// after that it means that this process was replaced.
	confirmed bool
	// replacedBy is the newer run of the own ID or address.
	replacedBy Ref
	// clock is the time counted since start without pauses and jumps.
	clock  time.Duration
	last   time.Time
	expire time.Duration
	// config is the highest configuration version heard, and configFrom the
	// member that holds it.
	config     uint64
	configFrom Ref

	peers  peers
	rounds rounds
	cross  cross
	news   news
	sync   syncer
	pacer  pacer
	out    []Packet
}

// Table returns the members as this node sees them.
func (p *Protocol) Table() *Table { return &p.table }

// Local returns the own record.
func (p *Protocol) Local() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	return p.self
}

// Config returns the highest configuration version heard and the member that
// named it.
func (p *Protocol) Config() (version uint64, from Ref) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config, p.configFrom
}

// SetConfig tells the version that this node holds. Every message carries it,
// and a few messages are sent only to carry it: pings go to the same members
// each time, so that a version would pass slowly along the ring of monitors.
func (p *Protocol) SetConfig(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start()
	if version > p.self.Config {
		p.self.Config = version
		p.table.Merge(p.self)
		p.news.hints = quickSends
	}
	p.hearConfig(version, p.self.Ref)
}

// Replaced returns the run that took over the own ID or address. The process
// must then stop: the others ignore it.
func (p *Protocol) Replaced() (by Ref, replaced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replacedBy, p.replacedBy.ID != ""
}

// Update changes the own record and spreads it. The change must not touch ID,
// Incarnation or Seq.
func (p *Protocol) Update(now time.Time, change func(Member) Member) []Packet {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.announce(change(p.self))
	p.spread()
	return p.flush()
}

// Leave announces that this node stops.
func (p *Protocol) Leave(now time.Time) []Packet {
	return p.Update(now, func(m Member) Member { return m.WithState(StateLeaving) })
}

// AddMembers adds members that were read from the table service. Their records are
// not spread, since every node may read the same rows.
func (p *Protocol) AddMembers(now time.Time, members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	for _, m := range members {
		p.absorb(m)
	}
}

// Tick does the work that is due and returns the packets to send.
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
	p.sweep()
	return p.flush()
}

// start takes over the exported fields once.
func (p *Protocol) start() {
	if p.started {
		return
	}
	p.started = true
	if p.Rand == nil {
		p.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p.self = p.Self.normal()
	if p.self.ID == "" {
		return
	}
	p.sync.quick = quickRounds
	p.hearConfig(p.self.Config, p.self.Ref)
	p.announce(p.self)
}

// advance counts the time since the last call. A pause or a jump of the clock
// counts as one interval, a step back as nothing.
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

// announce publishes a new version of the own record.
func (p *Protocol) announce(m Member) {
	m.Ref = p.self.Ref
	m.Seq = p.self.Seq + 1
	p.self = m.normal()
	p.table.Merge(p.self)
	p.news.add(p.self)
}

func (p *Protocol) hearConfig(version uint64, from Ref) {
	if version > p.config {
		p.config, p.configFrom = version, from
	}
}

// sweep drops tombstones and members that were unreachable for too long. Their
// addresses stay as seeds, so that a region can be found again.
func (p *Protocol) sweep() {
	if p.clock < p.expire {
		return
	}
	p.expire = p.clock + expireEvery
	p.table.forget(func(e *entry) bool {
		if e.tombstone() {
			return p.clock-e.since > tombstoneKeep
		}
		if !p.cross.forgotten(e.Region, p.clock) {
			return false
		}
		p.sync.remember(e.Addr)
		return true
	})
}

// header returns a message of the kind with what every message carries.
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
