package daemon

import (
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

// udpHeaders are the IPv4 and UDP headers of a packet.
const udpHeaders = 28

// traffic counts the bytes that a node's socket really sends, QUIC and gossip,
// with their headers.
type traffic struct {
	*net.UDPConn
	mu   sync.Mutex
	sent []packet
}

type packet struct {
	at    time.Time
	to    string
	bytes int
}

func (s *traffic) count(bytes int, to net.Addr) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, packet{time.Now(), to.String(), bytes + udpHeaders})
}

// WriteTo implements net.PacketConn.
func (s *traffic) WriteTo(b []byte, to net.Addr) (int, error) {
	s.count(len(b), to)
	return s.UDPConn.WriteTo(b, to)
}

// WriteMsgUDP is what quic-go calls on sockets that have it.
func (s *traffic) WriteMsgUDP(b, oob []byte, to *net.UDPAddr) (int, int, error) {
	s.count(len(b), to)
	return s.UDPConn.WriteMsgUDP(b, oob, to)
}

func (s *traffic) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = nil
}

// busiest returns the most bytes within a second that were sent to the given
// addresses, or to any.
func (s *traffic) busiest(to map[string]bool) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.sent {
		sum := 0
		for _, p := range s.sent[i:] {
			if p.at.Sub(s.sent[i].at) >= time.Second {
				break
			}
			if to == nil || to[p.to] {
				sum += p.bytes
			}
		}
		most = max(most, sum)
	}
	return most
}

// Guards against a node that exceeds 9 KB/s with the probes of all services
// that it calls together, though each server and link is within its budget.
func TestNodeStaysWithinItsBytes(t *testing.T) {
	var log probeLog
	sockets := make(map[string]*traffic)
	c := startChanged(t, 6, func(n *Node) {
		n.ServerBudget = &budget.Rate{Messages: math.MaxInt32, Bytes: math.MaxInt32}
		n.routes.Probe = 20 * time.Millisecond // as with 250 servers and the usual period
		log.watch(n)
		n.peers.Socket = func(u *net.UDPConn) net.PacketConn {
			sockets[n.ID] = &traffic{UDPConn: u}
			return sockets[n.ID]
		}
	})
	c.connectAll(t)
	// New links are used for searching the path's largest packet at first.
	log.await(t, 300)
	for _, s := range sockets {
		s.reset()
	}
	log.await(t, 600)
	for id, s := range sockets {
		t.Logf("%s sent %d bytes in its busiest second", id, s.busiest(nil))
		assert.Assert(t, s.busiest(nil) <= 9000, "%s sent %d bytes in a second", id, s.busiest(nil))
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	assert.Equal(t, len(log.at), 30, "a server is never probed: %d pairs", len(log.at))
}

// await waits for that many probes.
func (l *probeLog) await(t *testing.T, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.total() < want {
			return poll.Continue("%d probes", l.total())
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}
