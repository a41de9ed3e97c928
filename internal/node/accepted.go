package node

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// maxAccepted bounds the memory of accepted connections. A node sends to at most
	// 80 servers (routing.Config.Total), so a node accepts 80 connections on average,
	// with a standard deviation of 9.
	maxAccepted = 112
	// minEvictIdle is how long a connection must be without requests before it may
	// be evicted: its last answer may still be in transit.
	minEvictIdle = time.Second
)

// accepted is a connection that another node opened. Transport.mu guards it.
type accepted struct {
	conn     *quic.Conn
	inFlight int
	// lastUsed is when the last request ended or, before that, when the connection
	// was accepted.
	lastUsed time.Time
}

// addAccepted registers an accepted connection. At maxAccepted connections it evicts
// the least recently used one without requests in flight; if there is none, it
// returns false and the new connection must be closed.
func (t *Transport) addAccepted(conn *quic.Conn, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted == nil {
		t.accepted = make(map[*quic.Conn]*accepted)
	}
	if len(t.accepted) >= maxAccepted {
		oldest := t.oldestAccepted(now)
		if oldest == nil {
			return false
		}
		delete(t.accepted, oldest.conn)
		go func() { _ = oldest.conn.CloseWithError(codeIdle, "evicted") }()
	}
	t.accepted[conn] = &accepted{conn: conn, lastUsed: now}
	return true
}

func (t *Transport) oldestAccepted(now time.Time) *accepted {
	var oldest *accepted
	for _, a := range t.accepted {
		if a.inFlight == 0 && now.Sub(a.lastUsed) >= minEvictIdle && (oldest == nil || a.lastUsed.Before(oldest.lastUsed)) {
			oldest = a
		}
	}
	return oldest
}

func (t *Transport) removeAccepted(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, conn)
}

// beginStream counts a stream as in flight. It returns false if the connection was
// evicted or Close has begun to wait for the streams.
func (t *Transport) beginStream(conn *quic.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accepted[conn]
	if t.closed || a == nil {
		return false
	}
	a.inFlight++
	t.streams.Add(1)
	return true
}

func (t *Transport) endStream(conn *quic.Conn) {
	t.mu.Lock()
	if a := t.accepted[conn]; a != nil {
		a.inFlight--
		a.lastUsed = time.Now()
	}
	t.mu.Unlock()
	t.streams.Done()
}

// Accepted returns the number of open connections that other nodes dialed.
func (t *Transport) Accepted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accepted)
}
