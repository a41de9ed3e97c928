package daemon

import (
	"math"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/member"
)

// udpHeaders are the IPv4 and UDP headers of a packet.
const udpHeaders = 28

// trafficCounter records the bytes that a node's socket sends, QUIC and gossip, with
// their headers.
type trafficCounter struct {
	*net.UDPConn
	mu   sync.Mutex
	sent []packet
}

type packet struct {
	at    time.Time
	to    string
	bytes int
}

func (s *trafficCounter) count(bytes int, to net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, packet{time.Now(), to.String(), bytes + udpHeaders})
}

// WriteTo implements net.PacketConn.
func (s *trafficCounter) WriteTo(b []byte, to net.Addr) (int, error) {
	s.count(len(b), to)
	return s.UDPConn.WriteTo(b, to)
}

// WriteMsgUDP is what quic-go calls on sockets that have it.
func (s *trafficCounter) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (int, int, error) {
	s.count(len(b), to)
	return s.UDPConn.WriteMsgUDP(b, oob, to)
}

func (s *trafficCounter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = nil
}

// mtuProbeBytes is smaller than the packets of QUIC's path MTU discovery and larger
// than any packet for measuring.
const mtuProbeBytes = 1280

// busiest returns the largest number of bytes within any second that the sockets sent
// together to the given addresses, or to all if to is nil.
func busiest(to map[string]bool, sockets ...*trafficCounter) (most int) {
	var sent []packet
	for _, s := range sockets {
		s.mu.Lock()
		for _, p := range s.sent {
			if p.bytes < mtuProbeBytes && (to == nil || to[p.to]) {
				sent = append(sent, p)
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(sent, func(a, b packet) int { return a.at.Compare(b.at) })
	first, sum := 0, 0
	for _, p := range sent {
		sum += p.bytes
		for p.at.Sub(sent[first].at) >= time.Second {
			sum -= sent[first].bytes
			first++
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a node that exceeds 9 KB/s with the probes of all services
// that it calls together, though each server and link is within its budget.
func TestNodeStaysWithinByteLimit(t *testing.T) {
	var log probeLog
	sockets := make(map[string]*trafficCounter)
	c := startClusterWith(t, 6, func(n *Node) {
		n.ServerBudget = &budget.Rate{Messages: math.MaxInt32, Bytes: math.MaxInt32}
		n.routes.ProbeAfter = 20 * time.Millisecond // as with 250 servers and the usual period
		log.watch(n)
		n.transport.Socket = func(u *net.UDPConn) net.PacketConn {
			sockets[n.ID] = &trafficCounter{UDPConn: u}
			return sockets[n.ID]
		}
	})
	c.connectAll(t)
	// The handshakes and the first requests are not measuring traffic.
	log.awaitProbes(t, 300)
	for _, s := range sockets {
		s.reset()
	}
	log.awaitProbes(t, 600)
	for id, s := range sockets {
		t.Logf("%s sent %d bytes in its busiest second", id, busiest(nil, s))
		assert.Assert(t, busiest(nil, s) <= 9000, "%s sent %d bytes in a second", id, busiest(nil, s))
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Equal(t, len(log.arrivals), 30, "a server is never probed: %d pairs", len(log.arrivals))
}

// awaitProbes waits until that many probes have arrived.
func (l *probeLog) awaitProbes(t *testing.T, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.total() < want {
			return poll.Continue("%d probes", l.total())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against probes, their answers or membership traffic that exceed the budget of
// a link between regions. Each node has a separate budget for each direction, and
// charges the answers to its probes to the opposite direction.
func TestLinkStaysWithinBudget(t *testing.T) {
	const size = 4
	rate := budget.Rate{Messages: 20, Bytes: 600}
	var log probeLog
	sockets, regions := make(map[string]*trafficCounter), []string{"poa", "fln"}
	c := startClusterWith(t, size, func(n *Node) {
		n.Region = regions[len(sockets)%2]
		n.routes.Region = n.Region
		n.routes.ProbeAfter = 4 * time.Millisecond // 20 ms to the other region
		log.watch(n)
		n.transport.Socket = func(u *net.UDPConn) net.PacketConn {
			sockets[n.ID] = &trafficCounter{UDPConn: u}
			return sockets[n.ID]
		}
	})
	c.connectAll(t)
	log.awaitProbes(t, 100)
	for _, n := range c.nodes {
		n.limits.SetLinks(rate)
	}
	for i := range 40 { // changes that membership has to announce
		if i == 10 { // the last second may hold what the usual budget allowed
			for _, s := range sockets {
				s.reset()
			}
		}
		for _, n := range c.nodes {
			n.members.gossip.Update(time.Now(), func(m member.Member) member.Member { return m.WithSlots(12 + i%2) })
		}
		sent := c.nodes[0].members.gossip.Stats().Sent
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if c.nodes[0].members.gossip.Stats().Sent < sent+2 {
				return poll.Continue("no gossip within the region")
			}
			return poll.Success()
		}, poll.WithDelay(10*time.Millisecond))
	}
	for way, from := range regions {
		to, senders := make(map[string]bool), []*trafficCounter(nil)
		for _, n := range c.nodes {
			if n.Region == from {
				senders = append(senders, sockets[n.ID])
			} else {
				to[n.PeerAddr()] = true
			}
		}
		sent := busiest(to, senders...)
		t.Logf("%s>%s carried %d bytes in its busiest second", from, regions[1-way], sent)
		assert.Assert(t, sent > 0 && sent <= size*int(rate.Bytes), "%d bytes left %s in a second", sent, from)
	}
}
