package http1

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// maxQueued bounds the bytes of an answer that wait for a slow caller.
	maxQueued    = 256 << 10
	defaultStall = 30 * time.Second
	writeBuffer  = 16 << 10
)

var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// conn adds back-pressure to a non-blocking connection, whose own queue has no
// bound.
type conn struct {
	*nbio.Conn
	// pending counts requests that were parsed and not yet answered.
	pending atomic.Int32
	// queued is the number of bytes written but not yet taken by the kernel. It
	// is briefly negative when the kernel takes them before Write has added them.
	queued atomic.Int64
	// stall is how long a write may make no progress.
	stall time.Duration
	// room is signalled after the kernel took bytes.
	room chan struct{}

	framer framer

	mu     sync.Mutex
	cancel context.CancelFunc
	// bodies holds the bodies of requests whose handler has not begun.
	bodies map[*http.Request][]byte
	// closed is set when the connection has ended.
	closed bool
}

func (c *conn) setCancel(cancel context.CancelFunc) {
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
}

func (c *conn) cancelRequest() {
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *conn) sent(n int) {
	c.queued.Add(int64(-n))
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// Write queues p and waits until at most maxQueued bytes are left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		return n, err
	}
	c.queued.Add(int64(n))
	return n, c.await(maxQueued)
}

// await blocks until at most limit bytes wait for the kernel.
func (c *conn) await(limit int64) error {
	if c.queued.Load() <= limit {
		return nil
	}
	stall := time.NewTimer(c.stall)
	defer stall.Stop()
	check := time.NewTicker(100 * time.Millisecond)
	defer check.Stop()
	for c.queued.Load() > limit {
		select {
		case <-c.room:
			stall.Reset(c.stall)
		case <-check.C:
			// The connection may have been closed without a last signal.
			if closed, _ := c.IsClosed(); closed {
				return io.ErrClosedPipe
			}
		case <-stall.C:
			return os.ErrDeadlineExceeded
		}
	}
	return nil
}

// respond writes the whole response. With last set it also waits until the
// kernel has taken every byte, so that the connection can be closed.
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
	if response.ContentLength < 0 && (r == nil || r.ProtoAtLeast(1, 1)) {
		response.TransferEncoding = []string{"chunked"}
	}
	body := &flushingBody{ReadCloser: response.Body, writer: w}
	response.Body = body
	// Only Write is exposed: bufio's ReadFrom reads the body into the buffer
	// that flushingBody flushes.
	err := response.Write(struct{ io.Writer }{w})
	if err == nil {
		err = body.err
	}
	if err == nil {
		err = w.Flush()
	}
	if err == nil && last {
		err = c.await(0)
	}
	return err
}

// flushingBody flushes what was written before it waits for more, so that a
// slow stream reaches the caller as it comes.
type flushingBody struct {
	io.ReadCloser
	writer *bufio.Writer
	read   bool
	// err is the first error other than io.EOF; net/http hides the error of a
	// body that ends exactly at its declared length.
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
