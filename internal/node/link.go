package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Peer is a node that can be called.
type Peer struct {
	ID   string
	Addr string
	// Incarnation names the process; zero means the one that is connected.
	Incarnation uint64
}

// replaces reports whether the peer is another process than the one that the
// old peer named: its connections must not be used again.
func (p Peer) replaces(old Peer) bool {
	return p.Addr != old.Addr || (p.Incarnation > old.Incarnation && old.Incarnation != 0)
}

// link is the connection to one peer. It is dialed on demand; a link without
// requests is closed after a while.
type link struct {
	peer Peer

	mu sync.Mutex
	// conn is nil when there is no usable connection.
	conn *quic.Conn
	// dialing is closed when the running dial ends; nil when none runs.
	dialing chan struct{}
	// dialErr is the error of the last dial.
	dialErr error

	inFlight atomic.Int32
	// used is the time of the last request in nanoseconds of the table's clock.
	used atomic.Int64

	// Only the tick reads and writes the fields below.
	packets  uint64
	heard    time.Time
	observed *quic.Conn
	// pinged is when the ping was sent; zero when none waits.
	pinged time.Time
	ticked time.Time
}

// get returns the open connection or dials one. Concurrent callers share one
// dial.
func (l *link) get(ctx context.Context, dial func(ctx context.Context, addr net.Addr) (*quic.Conn, error)) (*quic.Conn, error) {
	for {
		l.mu.Lock()
		if l.conn != nil && l.conn.Context().Err() == nil {
			conn := l.conn
			l.mu.Unlock()
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

// silence reports what the tick must do about a link with requests in flight
// from which no packet has come.
func (l *link) silence(now time.Time) silenceAction {
	conn := l.current()
	if conn == nil || l.inFlight.Load() == 0 {
		l.observed = nil
		return silenceNone
	}
	packets := conn.ConnectionStats().PacketsReceived
	// After a gap between ticks this process was paused, and packets that came
	// meanwhile may not be read yet.
	paused := now.Sub(l.ticked) > maxTickGap
	l.ticked = now
	if conn != l.observed || packets != l.packets || paused {
		l.observed, l.packets, l.heard, l.pinged = conn, packets, now, time.Time{}
		return silenceNone
	}
	switch {
	case !l.pinged.IsZero() && now.Sub(l.pinged) >= deadAfter:
		return silenceClose
	case l.pinged.IsZero() && now.Sub(l.heard) >= pingAfter:
		l.pinged = now
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
