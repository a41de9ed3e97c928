// Package node implements the protocol between nodes of package daemon over QUIC,
// with one stream for each request and its answer, or control message and its reply.
package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout bounds how long an unused connection stays open. An idle
	// connection takes about 69 KB of memory at each end.
	idleTimeout = 30 * time.Second
	// maxLinks bounds the memory of outgoing connections.
	maxLinks = 128
	// pingAfter is how long no packet may arrive on a link with requests in flight
	// before a ping is sent. The link is closed if no packet arrives within
	// pingTimeout after that.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = time.Second
	// maxTickGap is far above the interval between ticks. A longer gap means that the
	// process was paused.
	maxTickGap = 250 * time.Millisecond

	// lingerTime is how long a node that shuts down keeps refusing requests that were
	// in transit. It is far above a round trip and covers a lost packet.
	lingerTime = 500 * time.Millisecond

	// retireDelay is longer than the longest request.
	retireDelay = 35 * time.Second
	// requestTimeout is how long a request of another node may take to arrive. After the
	// longest request, its answer is of no use.
	requestTimeout = retireDelay

	maxStreams = 4096

	codeCanceled quic.StreamErrorCode      = 1
	codeFailed   quic.StreamErrorCode      = 2
	codeIdle     quic.ApplicationErrorCode = 1
	codeSilent   quic.ApplicationErrorCode = 2
	codeStopped  quic.ApplicationErrorCode = 3
	// codeFull closes a connection on which no stream was served.
	codeFull quic.ApplicationErrorCode = 4
)

// ControlFunc answers a control message from another node.
type ControlFunc func(ctx context.Context, from string, body []byte) ([]byte, error)

// Transport is a node's endpoint of the protocol, as client and as server. Set the
// exported fields before Listen.
type Transport struct {
	// ID is this node's ID; it is never empty.
	ID string
	// Calls serves the requests of other nodes.
	Calls call.Server
	// Controls holds the handlers of control messages by kind.
	Controls map[string]ControlFunc
	// MaxBody bounds a request body in bytes.
	MaxBody int
	// Bodies bounds the total size of request bodies in memory; nil means no bound.
	Bodies *call.BodyMemory
	// Credentials hold the certificate and the trusted authorities; never nil.
	Credentials *Credentials
	// Panicked is called when a handler has panicked; the request then fails with the
	// outcome unknown. It may be nil.
	Panicked func(cause any, stack []byte)
	// Socket wraps the UDP socket, for example to count packets; nil means that it is
	// used directly.
	Socket func(socket *net.UDPConn) net.PacketConn

	// requestTimeout bounds the arrival of a request; zero means the default.
	requestTimeout time.Duration

	quic     *quic.Transport
	listener *quic.Listener
	streams  sync.WaitGroup

	mu sync.Mutex
	// accepted holds the open connections that other nodes dialed, at most maxAccepted.
	accepted map[*quic.Conn]*accepted
	// links has at most maxLinks entries; the key is the peer's ID.
	links map[string]*link
	// closed is set when no further streams are accepted, and ended when those accepted
	// before have ended and no further ones are opened.
	closed, ended bool
	// generation is the generation of the credentials with which the links were dialed.
	// After Listen only Tick uses it.
	generation uint64
}

// Listen opens the UDP socket and starts to accept connections.
func (t *Transport) Listen(addr string) error {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return eris.Wrapf(err, "node address %q is not IP:port", addr)
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return eris.Wrapf(err, "listen on UDP %s; choose a free port", addr)
	}
	t.generation = t.Credentials.generation.Load()
	t.quic = &quic.Transport{Conn: socket}
	if t.Socket != nil {
		t.quic.Conn = t.Socket(socket)
	}
	t.listener, err = t.quic.Listen(t.Credentials.tlsConfig(), quicConfig())
	if err != nil {
		_ = socket.Close()
		return eris.Wrap(err, "start QUIC listener")
	}
	go t.accept()
	return nil
}

// Addr returns the UDP address that the transport listens on.
func (t *Transport) Addr() string { return t.quic.Conn.LocalAddr().String() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           dialTimeout,
		MaxIdleTimeout:                 idleTimeout,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     256 << 10,
		MaxStreamReceiveWindow:         1 << 20,
		InitialConnectionReceiveWindow: 1 << 20,
		MaxConnectionReceiveWindow:     4 << 20,
	}
}

// ReadDatagram reads the next encrypted membership datagram from the UDP port that
// QUIC uses as well.
func (t *Transport) ReadDatagram(ctx context.Context, buf []byte) (int, net.Addr, error) {
	return t.quic.ReadNonQUICPacket(ctx, buf)
}

// WriteDatagram sends a membership datagram. Its first two bits must be zero to
// distinguish it from a QUIC packet.
func (t *Transport) WriteDatagram(packet []byte, addr net.Addr) (int, error) {
	return t.quic.WriteTo(packet, addr)
}

func (t *Transport) link(peer Peer) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return nil, fault.New(fault.KindStopped, "node %s is stopping", t.ID)
	}
	if t.links == nil {
		t.links = make(map[string]*link)
	}
	l := t.links[peer.ID]
	if l != nil && !peer.replaces(l.peer) {
		l.peer.Incarnation = max(l.peer.Incarnation, peer.Incarnation)
		return l, nil
	}
	if l != nil {
		go l.close(codeIdle, "peer moved")
		delete(t.links, peer.ID)
	}
	if len(t.links) >= maxLinks && !t.evictIdle() {
		return nil, fault.New(fault.KindUnreachable, "all %d connections to other nodes are in use", maxLinks).
			WithOutcome(fault.Refused)
	}
	l = &link{peer: peer}
	l.lastUsed.Store(time.Now().UnixNano())
	t.links[peer.ID] = l
	return l, nil
}

// evictIdle closes the least recently used link without requests in flight and
// reports whether there was one.
func (t *Transport) evictIdle() bool {
	var oldest *link
	for _, l := range t.links {
		if l.inFlight.Load() == 0 && (oldest == nil || l.lastUsed.Load() < oldest.lastUsed.Load()) {
			oldest = l
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.links, oldest.peer.ID)
	go oldest.close(codeIdle, "evicted")
	return true
}

// Tick closes links that are idle or on which no packets arrive, and replaces
// connections after a change of the credentials. Call it at a short interval.
func (t *Transport) Tick(now time.Time) {
	if g := t.Credentials.generation.Load(); g != t.generation {
		t.generation = g
		for _, l := range t.snapshot() {
			l.retire()
		}
	}
	for _, l := range t.snapshot() {
		switch l.checkSilence(now) {
		case silenceClose:
			l.close(codeSilent, "no packet received")
		case silencePing:
			l.ping()
		case silenceNone:
		}
		if l.inFlight.Load() == 0 && now.UnixNano()-l.lastUsed.Load() > int64(idleTimeout) {
			t.closeIdle(l)
		}
	}
}

func (t *Transport) closeIdle(l *link) {
	t.mu.Lock()
	if t.links[l.peer.ID] == l && l.inFlight.Load() == 0 {
		delete(t.links, l.peer.ID)
	}
	t.mu.Unlock()
	l.close(codeIdle, "idle")
}

func (t *Transport) snapshot() []*link {
	t.mu.Lock()
	defer t.mu.Unlock()
	links := make([]*link, 0, len(t.links))
	for _, l := range t.links {
		links = append(links, l)
	}
	return links
}

// Connected reports whether there is an open connection to the peer.
func (t *Transport) Connected(peer Peer) bool {
	t.mu.Lock()
	l := t.links[peer.ID]
	usable := l != nil && !peer.replaces(l.peer)
	t.mu.Unlock()
	if !usable {
		return false
	}
	conn := l.current()
	return conn != nil && conn.Context().Err() == nil
}

// Links returns the number of open outgoing links.
func (t *Transport) Links() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

// Close waits for streams in flight until ctx ends, and for lingerTime if all of them
// have ended. Then it closes the connections and the socket. Without lingerTime, the
// close would discard data that is not yet delivered, which may be the end of an
// answer or the refusal of a request.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		t.streams.Wait()
		close(done)
	}()
	select {
	case <-done:
		linger(ctx)
	case <-ctx.Done():
	}
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	for _, l := range t.snapshot() {
		l.close(codeStopped, "node stopped")
	}
	t.closeAccepted()
	_ = t.listener.Close()
	err := t.quic.Close()
	_ = t.quic.Conn.Close()
	return err
}

func linger(ctx context.Context) {
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// closeAccepted closes the connections that other nodes dialed. Otherwise these nodes
// would send requests on them until their silence checks fail.
func (t *Transport) closeAccepted() {
	t.mu.Lock()
	conns := slices.Collect(maps.Keys(t.accepted))
	t.mu.Unlock()
	for _, conn := range conns {
		_ = conn.CloseWithError(codeStopped, "node stopped")
	}
}
