// Package tcp limits how slowly a part of a message may arrive on a connection, so that
// a sender cannot hold up its receiver with a few bytes at a time.
package tcp

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// defaultTimeout is the time limit of a part if Conn.Timeout is zero. A sender writes
	// a header or the size of a chunk at once.
	defaultTimeout = time.Second
	// lateTime is how long a part may still be read after its time limit: while this
	// process is stalled, bytes that have arrived remain unread.
	lateTime = 100 * time.Millisecond
)

// ErrTooSlow is the error of Read when the current part exceeds its time limit.
var ErrTooSlow = errors.New("a part of the message took too long to arrive")

// Conn limits the time from the first byte of each part of a message to its end. There
// is no limit before the first byte, when the sender may still be working. It uses the
// read deadline of the embedded connection.
type Conn struct {
	net.Conn
	// Timeout is the time limit of each part; zero means one second.
	Timeout time.Duration

	mu sync.Mutex
	// begun is when the first byte of the current part arrived; zero before that.
	begun time.Time
	// bounded is set while the connection has a read deadline, late after the first one
	// of the current part has passed.
	bounded, late bool
	// received is the number of bytes that were read.
	received int64
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		c.bound()
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.mark(n)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.expired() {
			return 0, ErrTooSlow
		}
	}
}

// Next ends the current part. The next byte that arrives begins another one.
func (c *Conn) Next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bounded {
		_ = c.SetReadDeadline(time.Time{})
	}
	c.begun, c.bounded, c.late = time.Time{}, false, false
}

// Begin begins a part of which bytes have arrived already.
func (c *Conn) Begin() { c.mark(0) }

// Received returns the number of bytes that were read.
func (c *Conn) Received() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

func (c *Conn) mark(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
}

// bound sets the read deadline, unless the part has not begun. A part that arrives with
// its first byte needs none.
func (c *Conn) bound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun.IsZero() || c.bounded {
		return
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.bounded = true
	_ = c.SetReadDeadline(c.begun.Add(timeout))
}

// expired reports whether the current part is over its limit, and extends the first
// deadline by lateTime.
func (c *Conn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun.IsZero() { // Next was called meanwhile
		return false
	}
	if c.late {
		return true
	}
	c.late = true
	_ = c.SetReadDeadline(time.Now().Add(lateTime))
	return false
}
