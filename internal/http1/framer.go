package http1

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// headEnd ends a header.
var headEnd = []byte("\r\n\r\n")

// framer finds the ends of headers and bodies and gives nbhttp's parser whole
// ones. By itself the parser accepts headers that RFC 9112 forbids, holds a body
// until it is whole, counts it against the limit of the header, and copies it
// with each read.
type framer struct {
	nbhttp.Processor
	// limits returns those in force.
	limits func() *Limits
	// memory is nil without a bound.
	memory Memory

	// mu is held while data is parsed, so that the end of the connection finds
	// either no body or a whole one.
	mu sync.Mutex
	// taken counts the bytes of body that memory has granted.
	taken int
	// closed is set when the connection has ended.
	closed bool

	// head is the header as far as it has come, until it is whole and checked.
	head []byte
	// begun is when the first part of the header came that is not whole; zero
	// while there is none.
	begun time.Time
	// declared tells the framing of the request whose body is to come.
	declared head
	// left is how many bytes of a body of declared length are still to come.
	left int
	// chunks decodes a chunked body.
	chunks chunks
	body   []byte
	// inBody is set while a body is to come.
	inBody bool
	// failed is set by the first error; what follows is ignored, so that the
	// answer to bad input is written once and not cut off.
	failed bool
}

// feed passes whole headers and whole bodies to the parser.
func (f *framer) feed(parse func([]byte) error, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(data) > 0 && !f.failed && !f.closed {
		var n int
		var err error
		switch {
		case f.inBody && f.declared.chunked:
			n, err = f.feedChunks(parse, data)
		case f.inBody:
			n, err = f.feedBody(parse, data)
		default:
			n, err = f.feedHead(parse, data)
		}
		if err != nil {
			f.failed = true
			return err
		}
		data = data[n:]
	}
	return nil
}

// feedHead collects a header. A line that ends badly fails at once, because the
// end of such a header may never be found.
func (f *framer) feedHead(parse func([]byte) error, data []byte) (int, error) {
	limit := f.limits().Header
	for i, b := range data {
		if len(f.head) == 0 && (b == '\r' || b == '\n') {
			continue // empty lines before a request are ignored (RFC 9112, 2.2)
		}
		if len(f.head) >= limit {
			return 0, ErrHeaderTooLarge
		}
		f.head = append(f.head, b)
		if b != '\n' {
			continue
		}
		if f.head[len(f.head)-2] != '\r' {
			return 0, eris.New("a header line ends with a bare LF")
		}
		if bytes.HasSuffix(f.head, headEnd) {
			return i + 1, f.headDone(parse)
		}
	}
	if len(f.head) > 0 && f.begun.IsZero() {
		f.begun = time.Now()
	}
	return len(data), nil
}

// giveUp reports whether a header is not whole that began before a point in
// time. Nothing more is read then.
func (f *framer) giveUp(begun time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed || f.begun.IsZero() || f.begun.After(begun) {
		return false
	}
	f.failed = true
	return true
}

// headDone checks a whole header. That of a chunked body is kept until the body
// is whole.
func (f *framer) headDone(parse func([]byte) error) error {
	f.begun = time.Time{}
	declared, err := readHead(f.head)
	if err != nil {
		return err
	}
	if declared.length > f.limits().Body {
		return nbhttp.ErrTooLong
	}
	f.declared, f.left = declared, declared.length
	f.inBody = declared.chunked || declared.length > 0
	if declared.chunked {
		return nil
	}
	whole := f.head
	f.head = nil
	return parse(whole)
}

func (f *framer) feedBody(parse func([]byte) error, data []byte) (int, error) {
	data = data[:min(len(data), f.left)]
	if size := len(f.body) + f.left; cap(f.body) < size && 4*(len(f.body)+len(data)) > size {
		// A quarter has come, so the rest is no mere claim. Growing in steps
		// would hold three times the body for a moment.
		f.body = append(make([]byte, 0, size), f.body...)
	}
	if err := f.add(data); err != nil {
		return 0, err
	}
	if f.left -= len(data); f.left > 0 {
		return len(data), nil
	}
	f.inBody = false
	whole := f.body
	f.body = nil
	return len(data), parse(whole)
}

// feedChunks collects a chunked body and gives it to the parser as one of
// declared length.
func (f *framer) feedChunks(parse func([]byte) error, data []byte) (int, error) {
	n, err := f.chunks.feed(data, f.addChunk)
	if err != nil || f.chunks.state != chunkDone {
		return n, err
	}
	whole, body := f.declared.withLength(f.head, len(f.body)), f.body
	f.chunks, f.head, f.body, f.inBody = chunks{}, nil, nil, false
	if err := parse(whole); err != nil || len(body) == 0 {
		return n, err
	}
	return n, parse(body)
}

func (f *framer) addChunk(data []byte) error {
	if len(f.body)+len(data) > f.limits().Body {
		return nbhttp.ErrTooLong
	}
	return f.add(data)
}

// OnBody implements nbhttp.Processor.
func (f *framer) OnBody(_ *nbhttp.Parser, data []byte) error {
	f.body = data
	return nil
}

// add appends to the body if memory has room for it.
func (f *framer) add(data []byte) error {
	if f.memory != nil && !f.memory.Take(len(data)) {
		return ErrNoMemory
	}
	f.taken += len(data)
	f.body = append(f.body, data...)
	return nil
}

// give returns the memory of a body that take returned.
func (f *framer) give(n int) {
	if f.memory != nil {
		f.memory.Release(n)
	}
}

// close returns the memory of a body that is not whole.
func (f *framer) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.give(f.taken)
	f.taken = 0
}

// take returns the body of the request that was just parsed. Its memory is
// returned with give.
func (f *framer) take() []byte {
	body := f.body
	f.body, f.taken = nil, 0
	return body
}

// keep holds the body of a request until its handler runs.
func (c *conn) keep(r *http.Request, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.framer.give(len(body))
		return
	}
	if c.bodies == nil {
		c.bodies = make(map[*http.Request][]byte)
	}
	c.bodies[r] = body
}

// release returns the memory of bodies that no handler will get.
func (c *conn) release() {
	c.framer.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, body := range c.bodies {
		c.framer.give(len(body))
	}
	c.bodies = nil
}

func (c *conn) bodyOf(r *http.Request) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := c.bodies[r]
	delete(c.bodies, r)
	return body
}
