package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vanillasail/vanillasail/pkg/member"
)

// network simulates hosts with a fake clock that advances by one millisecond.
type network struct {
	random *rand.Rand
	now    time.Time
	ms     int
	hosts  []*host
	byAddr map[string]*host
	// queue maps the millisecond of arrival to the packets in flight.
	queue map[int][]delivery
	loss  float64
	// cut reports whether packets from a to b are lost.
	cut func(a, b *host) bool
	// link counts the bytes sent between regions.
	link meter
}

type delivery struct {
	to, from string
	payload  []byte
}

type host struct {
	*member.Protocol
	addr   string
	region string
	phase  int
	// down hosts neither run nor receive; frozen ones receive into inbox.
	down, frozen bool
	inbox        []delivery
	// skew is added to the time passed to the protocol.
	skew     time.Duration
	sent     meter
	received meter
	messages int
}

// meter counts bytes in each tenth of a second.
type meter map[int]int

// peak returns the most bytes in any second from the given millisecond on.
func (m meter) peak(since int) int {
	most := 0
	for tenth := range m {
		sum := 0
		for i := range 10 {
			sum += m[tenth+i]
		}
		if tenth >= since/100 {
			most = max(most, sum)
		}
	}
	return most
}

func (m meter) total() (sum int) {
	for _, bytes := range m {
		sum += bytes
	}
	return sum
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byAddr: make(map[string]*host),
		queue: make(map[int][]delivery), cut: func(_, _ *host) bool { return false }, link: make(meter),
	}
}

// record returns the initial record of host number i.
func (n *network) record(i, regions int) member.Member {
	id := fmt.Sprintf("node-%04d", i)
	region := fmt.Sprintf("region-%d", i%regions)
	return member.Member{Ref: member.Ref{ID: id, Incarnation: member.NextIncarnation(0, n.now)}}.
		WithAddr(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)).WithService("stock").WithRegion(region).
		WithDomain(fmt.Sprintf("domain-%d", i/regions%2)).WithSlots(12)
}

// start adds a host, which replaces a host with the same address.
func (n *network) start(m member.Member, seeds ...string) *host {
	h := &host{
		Protocol: &member.Protocol{Self: m, Seeds: seeds, Rand: rand.New(rand.NewPCG(n.random.Uint64(), 2))},
		addr:     m.Addr, region: m.Region, phase: n.random.IntN(100), sent: make(meter), received: make(meter),
	}
	if old := n.byAddr[m.Addr]; old != nil {
		old.down = true
	}
	n.hosts = append(n.hosts, h)
	n.byAddr[m.Addr] = h
	return h
}

// cluster starts hosts that know each other, as after reading the member rows, and
// runs them for 5 s.
func cluster(seed uint64, size, regions int) *network {
	n := newNetwork(seed)
	var all []member.Member
	for i := range size {
		m := n.record(i, regions)
		n.start(m)
		all = append(all, m.WithSeq(1))
	}
	for _, h := range n.hosts {
		h.AddMembers(n.now, all)
	}
	n.run(5 * time.Second)
	return n
}

func (n *network) run(d time.Duration) {
	for range d / time.Millisecond {
		n.step()
	}
}

// until runs until the condition holds, at most for the limit. It returns the time
// that passed and whether the condition holds.
func (n *network) until(limit time.Duration, done func() bool) (time.Duration, bool) {
	for d := time.Duration(0); ; d += 10 * time.Millisecond {
		if done() {
			return d, true
		}
		if d >= limit {
			return d, false
		}
		n.run(10 * time.Millisecond)
	}
}

func (n *network) step() {
	n.ms++
	n.now = n.now.Add(time.Millisecond)
	for _, d := range n.queue[n.ms] {
		n.deliver(d)
	}
	delete(n.queue, n.ms)
	for _, h := range n.hosts {
		if n.ms%100 == h.phase && !h.down && !h.frozen {
			n.send(h, h.Tick(n.now.Add(h.skew)))
		}
	}
}

func (n *network) deliver(d delivery) {
	h := n.byAddr[d.to]
	switch {
	case h == nil || h.down:
	case h.frozen && len(h.inbox) < 100:
		h.inbox = append(h.inbox, d)
	case !h.frozen:
		h.received[n.ms/100] += len(d.payload) + member.Overhead
		packets, err := h.Receive(n.now.Add(h.skew), d.payload, d.from)
		if err != nil {
			panic(err)
		}
		n.send(h, packets)
	}
}

func (n *network) send(h *host, packets []member.Packet) {
	for _, p := range packets {
		bytes := len(p.Payload) + member.Overhead
		h.sent[n.ms/100] += bytes
		h.messages++
		to := n.byAddr[p.Addr]
		if to == nil {
			continue
		}
		delay := 1 + n.random.IntN(3)
		if to.region != h.region {
			n.link[n.ms/100] += bytes
			delay += 8
		}
		if n.cut(h, to) || n.random.Float64() < n.loss {
			continue
		}
		at := n.ms + delay
		n.queue[at] = append(n.queue[at], delivery{p.Addr, h.addr, p.Payload})
	}
}

func (n *network) byID(id string) *host {
	for _, h := range n.hosts {
		if h.Local().ID == id {
			return h
		}
	}
	return nil
}

// resume lets a frozen host run again. It first receives the packets in its inbox.
func (n *network) resume(h *host) {
	h.frozen = false
	inbox := h.inbox
	h.inbox = nil
	for _, d := range inbox {
		n.deliver(d)
	}
}

// everywhere reports whether the condition holds at all running hosts for their
// record of a member.
func (n *network) everywhere(id string, condition func(m member.Member, known bool) bool) bool {
	for _, h := range n.hosts {
		if h.down || h.frozen {
			continue
		}
		if m, known := h.Table().Get(id); !condition(m, known) {
			return false
		}
	}
	return true
}

func accepting(m member.Member, known bool) bool    { return known && m.Accepts() }
func notAccepting(m member.Member, known bool) bool { return !known || !m.Accepts() }

// complete reports whether the tables of all running hosts hold exactly the running
// hosts, all of them accepting requests.
func (n *network) complete() bool {
	running := 0
	for _, h := range n.hosts {
		if !h.down {
			running++
		}
	}
	for _, h := range n.hosts {
		if h.down || h.frozen {
			continue
		}
		if h.Table().Len() != running {
			return false
		}
		for _, m := range h.Table().Members() {
			if !m.Accepts() {
				return false
			}
		}
	}
	return true
}

// slots reports whether all running hosts have the number of slots in the records of
// all members of a region.
func (n *network) slots(region string, want int) bool {
	for _, h := range n.hosts {
		for _, m := range h.Table().Members() {
			if !h.down && m.Region == region && m.Slots != want {
				return false
			}
		}
	}
	return true
}

// seed returns a fixed seed, so that a failure can be reproduced, and logs it on
// failure.
func seed(t *testing.T) uint64 {
	const s = 7
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d", s)
		}
	})
	return s
}
