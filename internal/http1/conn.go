package http1

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// maxQueuedBytes limits the bytes of an answer that are queued for a slow caller.
	maxQueuedBytes      = 256 << 10
	defaultStallTimeout = 30 * time.Second
	writeBuffer         = 16 << 10
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// conn adds back-pressure to a non-blocking connection, whose own write queue is
// unbounded.
type conn struct {
	*nbio.Conn
	// pending is the number of requests that were parsed and are not yet answered.
	pending atomic.Int32
	// queued is the number of bytes written but not yet passed to the kernel. It is
	// negative for a moment when bytes are sent before Write has added them.
	queued atomic.Int64
	// stallTimeout is the maximum time without progress of a write.
	stallTimeout time.Duration
	// progress is signalled after bytes were passed to the kernel.
	progress chan struct{}

	framer   framer
	pipeline pipeline
	// endedBy is why the server has closed the connection; nil if it has not.
	endedBy atomic.Pointer[string]
	// lingering is set while the connection stays open after its last response.
	lingering atomic.Bool

	mu sync.Mutex
	// idle closes the connection if no request arrives; nil while one is in flight.
	idle *time.Timer
	// idleSince is when the idle time-out started.
	idleSince time.Time
}

// setIdle starts the idle time-out again.
func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		c.idle.Stop()
	}
	c.idleSince = time.Now()
	c.idle = time.AfterFunc(c.framer.limits().IdleTimeout, c.closeIdle)
}

// stopIdle stops the idle time-out, which must not end a request in flight.
func (c *conn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		c.idle.Stop()
		c.idle = nil
	}
}

func (c *conn) closeIdle() {
	if c.framer.endIfIdle(c.isExpired) {
		c.end(endIdle, os.ErrDeadlineExceeded)
	}
}

// isIdle reports whether the connection has no request in flight and is not closing
// behind its last response.
func (c *conn) isIdle() bool { return c.pending.Load() == 0 && !c.lingering.Load() }

// isExpired reports whether the connection has been idle for the time-out in force,
// which callers rely on. Otherwise the timer runs on for the rest, unless a request is
// arriving, which has limits of its own. The caller holds the lock of the framer.
func (c *conn) isExpired() bool {
	if !c.isDrained() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		return false
	}
	rest := c.framer.limits().IdleTimeout - time.Since(c.idleSince)
	if rest > 0 {
		c.idle.Reset(rest)
	}
	return rest <= 0
}

// isDrained reports whether the connection is idle and its caller is not sending a
// request. The caller holds the lock of the framer.
func (c *conn) isDrained() bool { return c.isIdle() && !c.framer.partial() }

// Reasons why the server closes a connection.
const (
	endAnswered = "answered"
	endIdle     = "idle"
	endInput    = "bad input"
	endDrain    = "drain"
	endStop     = "stop"
)

// end closes the connection; err may be nil.
func (c *conn) end(reason string, err error) {
	c.endedBy.CompareAndSwap(nil, &reason)
	_ = c.CloseWithError(err)
}

// linger closes the connection after some time, in which the caller can read the last
// response and close the connection itself.
func (c *conn) linger(err error) {
	c.lingering.Store(true)
	time.AfterFunc(lingerTime, func() { c.end(endAnswered, err) })
}

func (c *conn) onSent(n int) {
	c.queued.Add(int64(-n))
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// Write queues p and waits until at most maxQueuedBytes are queued.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		return n, err
	}
	c.queued.Add(int64(n))
	return n, c.awaitQueue(maxQueuedBytes)
}

// awaitQueue blocks until at most limit bytes are queued.
func (c *conn) awaitQueue(limit int64) error {
	if c.queued.Load() <= limit {
		return nil
	}
	stall := time.NewTimer(c.stallTimeout)
	defer stall.Stop()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for c.queued.Load() > limit {
		select {
		case <-c.progress:
			stall.Reset(c.stallTimeout)
		case <-check.C:
			// A connection may be closed without a further signal on progress.
			if closed, _ := c.IsClosed(); closed {
				return io.ErrClosedPipe
			}
		case <-stall.C:
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// respond writes the complete response. If last is set, it also waits until all
// bytes were passed to the kernel, so that the connection can be closed.
func (c *conn) respond(response *http.Response, r *http.Request, last bool) error {
	defer response.Body.Close()
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c)
	defer writerPool.Put(w)
	response.Request = r
	response.ProtoMajor, response.ProtoMinor = 1, 1
	if last {
		response.Close = true
	}
	unframed := endsWithConn(response, r)
	if response.ContentLength < 0 && !unframed {
		response.TransferEncoding = []string{"chunked"}
	}
	body := &flushingBody{ReadCloser: response.Body, writer: w}
	response.Body = body
	// Only Write is exposed, because bufio's ReadFrom would read the body into the
	// buffer that flushingBody flushes.
	err := response.Write(struct{ io.Writer }{w})
	if err == nil {
		err = body.err
	}
	if err == nil {
		err = w.Flush()
	}
	if err == nil && last {
		err = c.awaitQueue(0)
	}
	if err != nil && unframed {
		c.resetOnClose() // the caller would take a close for the end of the body
	}
	return err
}

// endsWithConn reports whether only the end of the connection shows the caller where the
// body ends.
func endsWithConn(response *http.Response, r *http.Request) bool {
	return response.ContentLength < 0 && r != nil && !r.ProtoAtLeast(1, 1)
}

// flushingBody flushes the written bytes before each further read, so that the
// parts of a slow stream reach the caller without delay.
type flushingBody struct {
	io.ReadCloser
	writer *bufio.Writer
	read   bool
	// err is the first error other than io.EOF. net/http does not return the error
	// of a body that has already supplied its declared length.
	err error
}

// Read implements io.Reader.
func (b *flushingBody) Read(p []byte) (int, error) {
	if b.read {
		if err := b.writer.Flush(); err != nil {
			return 0, err
		}
	}
	n, err := b.ReadCloser.Read(p)
	b.read = b.read || n > 0
	if err != nil && err != io.EOF && b.err == nil {
		b.err = err
	}
	return n, err
}
