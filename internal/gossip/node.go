// Package gossip sends membership messages between nodes as encrypted UDP datagrams
// on the port used for QUIC. It also writes the row of the local member to the table
// service and removes the rows of members that are gone.
package gossip

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/pkg/member"
)

// Conn sends and receives datagrams. node.Transport implements it.
type Conn interface {
	// ReadDatagram returns an error only after ctx is done or the socket is closed.
	ReadDatagram(ctx context.Context, buf []byte) (int, net.Addr, error)
	WriteDatagram(packet []byte, addr net.Addr) (int, error)
}

// Link is an ordered pair of regions. To is empty when the receiver's region
// is not known yet.
type Link struct{ From, To string }

// Budget limits the bytes sent over each link. Allow reports whether a datagram may
// be sent now, and counts its bytes if so.
type Budget interface {
	Allow(link Link, class member.Class, bytes int, now time.Time) bool
}

// Observer is notified of membership changes, in order and by one call at a time.
type Observer interface {
	MembersChanged(events []member.Event)
}

// Stats holds the numbers of packets and bytes since the start.
type Stats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	// Unauthenticated counts packets not sealed with the cluster secret, Malformed
	// those that were opened but hold no valid message.
	Unauthenticated, Malformed uint64
	// Denied counts packets that the budget did not allow, Failed those that could
	// not be written.
	Denied, Failed uint64
}

// Node connects the membership protocol to the network. Set the exported
// fields before Start.
type Node struct {
	Conn     Conn
	Protocol *member.Protocol
	Sealer   *Sealer
	// Budget limits the bytes sent; nil means no limit.
	Budget Budget
	// Observer may be nil.
	Observer Observer
	// Now returns the time with its monotonic clock reading; nil means time.Now.
	Now func() time.Time

	stats  counters
	cancel context.CancelFunc
	done   chan struct{}
	// notifyMu keeps the events of several goroutines in order.
	notifyMu sync.Mutex
}

type counters struct {
	sent, sentBytes, received, receivedBytes   atomic.Uint64
	unauthenticated, malformed, denied, failed atomic.Uint64
}

// Start starts a goroutine that reads datagrams until Stop is called or ctx is done.
func (n *Node) Start(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.done = make(chan struct{})
	go n.read(ctx)
}

// Stop stops the goroutine that reads datagrams and waits for its end.
func (n *Node) Stop() {
	if n.cancel == nil {
		return
	}
	n.cancel()
	<-n.done
}

// Tick runs the periodic work of the protocol. Call it every member.Interval.
func (n *Node) Tick(now time.Time) {
	n.send(n.Protocol.Tick(now), now)
	n.notifyObserver()
}

// Update changes the local record and disseminates it.
func (n *Node) Update(now time.Time, change func(member.Member) member.Member) {
	n.send(n.Protocol.Update(now, change), now)
	n.notifyObserver()
}

// Leave announces that this node is leaving the cluster. Tick must be called for
// another second, so that the announcement reaches all members.
func (n *Node) Leave(now time.Time) {
	n.send(n.Protocol.Leave(now), now)
	n.notifyObserver()
}

// Stats returns the current counts.
func (n *Node) Stats() Stats {
	s := &n.stats
	return Stats{
		Sent: s.sent.Load(), SentBytes: s.sentBytes.Load(),
		Received: s.received.Load(), ReceivedBytes: s.receivedBytes.Load(),
		Unauthenticated: s.unauthenticated.Load(), Malformed: s.malformed.Load(),
		Denied: s.denied.Load(), Failed: s.failed.Load(),
	}
}

func (n *Node) now() time.Time {
	if n.Now != nil {
		return n.Now()
	}
	return time.Now()
}

func (n *Node) read(ctx context.Context) {
	defer close(n.done)
	buf := make([]byte, 2048)
	for {
		size, addr, err := n.Conn.ReadDatagram(ctx, buf)
		if err != nil {
			return
		}
		n.receive(buf[:size], addr)
	}
}

func (n *Node) receive(packet []byte, addr net.Addr) {
	payload, err := n.Sealer.Open(packet)
	if err != nil {
		n.stats.unauthenticated.Add(1)
		return
	}
	n.stats.received.Add(1)
	n.stats.receivedBytes.Add(uint64(len(packet)))
	now := n.now()
	packets, err := n.Protocol.Receive(now, payload, addr.String())
	if err != nil {
		n.stats.malformed.Add(1)
		return
	}
	n.send(packets, now)
	n.notifyObserver()
}

func (n *Node) send(packets []member.Packet, now time.Time) {
	from := n.Protocol.Local().Region
	for _, p := range packets {
		bytes := len(p.Payload) + member.Overhead
		if n.Budget != nil && !n.Budget.Allow(Link{from, p.Region}, p.Class, bytes, now) {
			n.stats.denied.Add(1)
			continue
		}
		if err := n.write(p); err != nil {
			n.stats.failed.Add(1)
		}
	}
}

func (n *Node) write(p member.Packet) error {
	addr, err := net.ResolveUDPAddr("udp", p.Addr)
	if err != nil {
		return eris.Wrapf(err, "member address %q is not IP:port", p.Addr)
	}
	size, err := n.Conn.WriteDatagram(n.Sealer.Seal(p.Payload), addr)
	if err != nil {
		return eris.Wrapf(err, "send datagram to %s", p.Addr)
	}
	n.stats.sent.Add(1)
	n.stats.sentBytes.Add(uint64(size))
	return nil
}

func (n *Node) notifyObserver() {
	if n.Observer == nil {
		return
	}
	n.notifyMu.Lock()
	defer n.notifyMu.Unlock()
	if events := n.Protocol.Table().Events(); len(events) > 0 {
		n.Observer.MembersChanged(events)
	}
}
