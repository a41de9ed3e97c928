package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Peer identifies a remote node and its address.
type Peer struct {
	ID   string
	Addr string
	// Incarnation identifies the process; zero means the one that the link is
	// connected to.
	Incarnation uint64
}

// replaces reports whether p is another process than old. If so, connections to old
// must not be used any more.
func (p Peer) replaces(old Peer) bool {
	return p.Addr != old.Addr || (p.Incarnation > old.Incarnation && old.Incarnation != 0)
}

// link is the connection to one peer. It is dialed on demand and closed after
// idleTimeout without requests.
type link struct {
	peer Peer

	mu sync.Mutex
	// conn is nil when there is no usable connection.
	conn *quic.Conn
	// dialing is closed when the current dial ends; nil when none is in progress.
	dialing chan struct{}
	// dialErr is the error of the last dial.
	dialErr error
	// stopping is the connection whose peer refused a request because it is shutting
	// down. No requests are sent on it, as the peer may close it at any moment.
	stopping *quic.Conn

	inFlight atomic.Int32
	// lastUsed is the time of the last request in nanoseconds of Unix time.
	lastUsed atomic.Int64

	// Only Tick reads and writes the fields below.
	packetCount  uint64
	lastPacket   time.Time
	observedConn *quic.Conn
	// pingSent is when the pending ping was sent; zero when there is none.
	pingSent time.Time
	lastTick time.Time
}

// connect returns the open connection or dials a new one. Concurrent callers share
// one dial.
func (l *link) connect(ctx context.Context, dial func(ctx context.Context, addr net.Addr) (*quic.Conn, error)) (*quic.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil && l.conn.Context().Err() == nil {
			conn, stopping := l.conn, l.stopping == l.conn
			l.mu.Unlock()
			if stopping {
				return nil, errStopping
			}
			return conn, nil
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial(dial, l.dialing)
		}
		wait := l.dialing
		l.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		l.mu.Lock()
		conn, err := l.conn, l.dialErr
		l.mu.Unlock()
		if err != nil {
			return nil, err
		}
		if conn != nil && conn.Context().Err() == nil {
			return conn, nil
		}
	}
}

func (l *link) dial(dial func(ctx context.Context, addr net.Addr) (*quic.Conn, error), done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var conn *quic.Conn
	addr, err := net.ResolveUDPAddr("udp", l.peer.Addr)
	if err == nil {
		conn, err = dial(ctx, addr)
	}
	l.mu.Lock()
	l.conn, l.dialErr, l.dialing = conn, err, nil
	l.mu.Unlock()
	close(done)
}

// retire makes later requests use a new connection. Requests in flight complete on
// the old one, which is closed after retireDelay.
func (l *link) retire() {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		time.AfterFunc(retireDelay, func() { _ = conn.CloseWithError(codeIdle, "credentials replaced") })
	}
}

// recordRefusal marks the connection if err means that the peer is shutting down.
func (l *link) recordRefusal(err error) {
	if !fault.Is(err, fault.KindStopped) {
		return
	}
	l.mu.Lock()
	l.stopping = l.conn
	l.mu.Unlock()
}

var errStopping = errors.New("it is stopping")

func (l *link) current() *quic.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

func (l *link) close(code quic.ApplicationErrorCode, reason string) {
	l.mu.Lock()
	conn := l.conn
	l.conn = nil
	l.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(code, reason)
	}
}

// checkSilence returns what Tick must do about a link with requests in flight on
// which no packets are received.
func (l *link) checkSilence(now time.Time) silenceAction {
	conn := l.current()
	if conn == nil || l.inFlight.Load() == 0 {
		l.observedConn = nil
		return silenceNone
	}
	packetCount := conn.ConnectionStats().PacketsReceived
	// A long gap between ticks means that this process was paused. Packets that
	// arrived meanwhile may not have been read yet.
	paused := now.Sub(l.lastTick) > maxTickGap
	l.lastTick = now
	if conn != l.observedConn || packetCount != l.packetCount || paused {
		l.observedConn, l.packetCount, l.lastPacket, l.pingSent = conn, packetCount, now, time.Time{}
		return silenceNone
	}
	switch {
	case !l.pingSent.IsZero() && now.Sub(l.pingSent) >= pingTimeout:
		return silenceClose
	case l.pingSent.IsZero() && now.Sub(l.lastPacket) >= pingAfter:
		l.pingSent = now
		return silencePing
	default:
		return silenceNone
	}
}

type silenceAction uint8

const (
	silenceNone silenceAction = iota
	silencePing
	silenceClose
)
