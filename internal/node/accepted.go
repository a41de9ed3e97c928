package node

import (
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// maxAccepted bounds the memory of connections that other nodes opened. Nodes
	// use 80 servers at most (routing.Config.Total), so that 80 connections come
	// in on average with a standard deviation of 9.
	maxAccepted = 112
	// settled is how long a connection must be without requests before it may
	// be closed for another one: its last answer may still be on the way.
	settled = time.Second
)

// accepted is a connection that another node opened. Transport.mu guards it.
type accepted struct {
	conn     *quic.Conn
	inFlight int
	// used is the end of the last request, or the start of the connection.
	used time.Time
}

// adopt keeps an accepted connection until it ends. When there are maxAccepted,
// it closes the least recently used one without requests in flight; when there
// is none, it refuses the new one.
func (t *Transport) adopt(conn *quic.Conn, now time.Time) bool {
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
	t.accepted[conn] = &accepted{conn: conn, used: now}
	return true
}

func (t *Transport) oldestAccepted(now time.Time) *accepted {
	var oldest *accepted
	for _, a := range t.accepted {
		if a.inFlight == 0 && now.Sub(a.used) >= settled && (oldest == nil || a.used.Before(oldest.used)) {
			oldest = a
		}
	}
	return oldest
}

func (t *Transport) forget(conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.accepted, conn)
}

// enter counts a stream as in flight unless its connection was chosen to be
// closed or Close has begun to wait for the streams.
func (t *Transport) enter(conn *quic.Conn) bool {
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

func (t *Transport) leave(conn *quic.Conn) {
	t.mu.Lock()
	if a := t.accepted[conn]; a != nil {
		a.inFlight--
		a.used = time.Now()
	}
	t.mu.Unlock()
	t.streams.Done()
}

// Accepted returns the number of open connections of other nodes.
func (t *Transport) Accepted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.accepted)
}
