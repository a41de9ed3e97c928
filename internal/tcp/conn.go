// Package tcp limits how slowly a part of a message may arrive on a connection, so that
// a sender cannot hold up its receiver with a few bytes at a time.
package tcp

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// defaultTimeout is the time limit of a part if Conn.Timeout is zero. A sender writes
	// a header or the size of a chunk at once.
	defaultTimeout = time.Second
	// pauseShare is the share of the time limit that a pause counts for at most.
	pauseShare = 10
)

// ErrTooSlow is the error of Read when the current part exceeds its time limit.
var ErrTooSlow = errors.New("a part of the message took too long to arrive")

// Conn limits the time in which each part of a message arrives. A sender may be silent for
// as long as it likes before the first byte of a part and within it, because it may be
// working or stalled: a pause counts for a tenth of the limit at most. So Conn ends parts
// that arrive in drips, and the receiver has to limit the time of the whole message.
type Conn struct {
	net.Conn
	// Timeout is the time limit of each part; zero means one second.
	Timeout time.Duration

	mu sync.Mutex
	// last is when bytes of the current part last arrived; zero before its first byte.
	last time.Time
	// spent is the time of the current part that counts.
	spent time.Duration
	// received is the number of bytes that were read.
	received int64
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.arrive(n) {
		return 0, ErrTooSlow
	}
	return n, err
}

// Next ends the current part. The next byte that arrives begins another one.
func (c *Conn) Next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.spent = time.Time{}, 0
}

// Begin begins a part of which bytes have arrived already.
func (c *Conn) Begin() { c.arrive(0) }

// Received returns the number of bytes that were read.
func (c *Conn) Received() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// arrive counts bytes that have arrived, and reports whether the current part is within its
// limit.
func (c *Conn) arrive(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := time.Now()
	if !c.last.IsZero() {
		c.spent += min(now.Sub(c.last), timeout/pauseShare)
	}
	c.last = now
	return c.spent < timeout
}
