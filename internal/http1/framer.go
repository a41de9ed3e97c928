package http1

import (
	"bytes"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rotisserie/eris"
)

// headEnd terminates a header.
var headEnd = []byte("\r\n\r\n")

// framer finds the ends of headers and bodies and passes only complete ones to
// nbhttp's parser. The parser alone accepts headers that RFC 9112 forbids, buffers
// a body until it is complete, counts it against the limit of the header, and
// copies the received part with each read.
type framer struct {
	nbhttp.Processor
	// limits returns the current limits.
	limits func() *Limits
	// memory is nil if there is no limit.
	memory Memory

	// mu is held while data is parsed, so that close sees either no body or a
	// complete one, and endIfIdle each request that was passed on.
	mu sync.Mutex
	// heldBytes is the number of bytes taken from memory for the current body.
	heldBytes int
	// closed is set when the connection has ended or the server is about to close it.
	// Further input is ignored.
	closed bool

	// head is the received part of the header, until it is complete and checked.
	head []byte
	// headBytes is the size of the last complete header.
	headBytes int
	// headStart is the time of the first read of an incomplete header; zero if there
	// is none.
	headStart time.Time
	// emptyLines is the number of bytes of the empty lines before the current header.
	emptyLines int
	// spanStart is when the current span of a body began, and spanBody the length of the
	// body then.
	spanStart time.Time
	spanBody  int
	// declared is the framing of the request whose body is being received.
	declared framing
	// left is the number of bytes of a body of declared length that are still to
	// come.
	left int
	// chunks decodes a chunked body.
	chunks chunkDecoder
	body   []byte
	// inBody is set while a body is being received.
	inBody bool
	// failed is set by the first error. Further input is ignored, so that the
	// response to bad input is written only once and is not cut off.
	failed bool
	// ignored is the number of bytes that were ignored after an error.
	ignored int
}

// feed passes complete headers and complete bodies to the parser.
func (f *framer) feed(parse func([]byte) error, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed {
		f.ignored += len(data)
	}
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

// feedHead collects a header. A line that ends with a bare LF is an error at once,
// because the end of such a header may never be found.
func (f *framer) feedHead(parse func([]byte) error, data []byte) (int, error) {
	limit := f.limits().Header
	for i, b := range data {
		if len(f.head) == 0 && (b == '\r' || b == '\n') {
			if f.emptyLines++; f.emptyLines > limit {
				return 0, ErrHeaderTooLarge
			}
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
			return i + 1, f.finishHead(parse)
		}
	}
	if len(f.head) > 0 && f.headStart.IsZero() {
		f.headStart = time.Now()
	}
	return len(data), nil
}

// expired returns an error if the current header takes too long or the current body
// arrives too slowly. In that case no further input is parsed. Bytes around the content of
// a chunked body do not count.
func (f *framer) expired(now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.limits()
	var err error
	switch {
	case f.failed || f.closed:
	case !f.headStart.IsZero():
		if now.Sub(f.headStart) >= limits.HeadTimeout {
			err = ErrHeaderTooSlow
		}
	case f.inBody && now.Sub(f.spanStart) >= limits.BodySpan:
		if len(f.body)-f.spanBody < int(minBodyRate*limits.BodySpan/time.Second) {
			err = ErrBodyTooSlow
		}
		f.spanStart, f.spanBody = now, len(f.body)
	}
	f.failed = f.failed || err != nil
	return err
}

// finishHead checks a complete header and passes it to the parser, except for
// that of a chunked body, which is passed on when the body is complete.
func (f *framer) finishHead(parse func([]byte) error) error {
	f.headStart, f.emptyLines = time.Time{}, 0
	declared, err := readHead(f.head)
	if err != nil {
		return err
	}
	f.head, f.headBytes = nil, len(f.head)
	if declared.length > f.limits().Body {
		return nbhttp.ErrTooLong
	}
	f.declared, f.left = declared, declared.length
	f.inBody = declared.chunked || declared.length > 0
	f.spanStart, f.spanBody = time.Now(), 0
	if declared.chunked {
		return nil
	}
	return parse(declared.head(declared.length))
}

func (f *framer) feedBody(parse func([]byte) error, data []byte) (int, error) {
	data = data[:min(len(data), f.left)]
	if size := len(f.body) + f.left; cap(f.body) < size && 4*(len(f.body)+len(data)) > size {
		// Once a quarter of the body has arrived, allocate all of it: the declared
		// length alone is not trusted, and growing in steps would temporarily take
		// three times the memory of the body.
		f.body = append(make([]byte, 0, size), f.body...)
	}
	if err := f.add(data); err != nil {
		return 0, err
	}
	if f.left -= len(data); f.left > 0 {
		return len(data), nil
	}
	f.inBody = false
	complete := f.body
	f.body = nil
	return len(data), parse(complete)
}

// feedChunks collects a chunked body and passes it to the parser as a body of
// declared length.
func (f *framer) feedChunks(parse func([]byte) error, data []byte) (int, error) {
	n, err := f.chunks.feed(data, f.addChunk)
	if err != nil || f.chunks.state != chunkDone {
		return n, err
	}
	complete, body := f.declared.head(len(f.body)), f.body
	f.chunks, f.declared, f.body, f.inBody = chunkDecoder{}, framing{}, nil, false
	if err := parse(complete); err != nil || len(body) == 0 {
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

// add appends to the body if the memory limit allows it.
func (f *framer) add(data []byte) error {
	if f.memory != nil && !f.memory.Take(len(data)) {
		return ErrNoMemory
	}
	f.heldBytes += len(data)
	f.body = append(f.body, data...)
	return nil
}

// releaseMemory releases the memory of a body that takeBody returned.
func (f *framer) releaseMemory(n int) {
	if f.memory != nil {
		f.memory.Release(n)
	}
}

// endIfIdle ends the input if idle returns true, and reports whether the input has
// ended. Each request is passed on either before idle is called or not at all. After
// an error it does nothing, because the connection closes after the response to it.
func (f *framer) endIfIdle(idle func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = f.closed || !f.failed && idle()
	return f.closed
}

// receiving reports whether a part of a request was received.
func (f *framer) receiving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partial()
}

// flooded reports whether the caller goes on to send after an error for longer than a
// body may be.
func (f *framer) flooded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ignored > maxIgnored
}

// partial reports whether a part of a request was received. The caller holds mu.
func (f *framer) partial() bool { return f.inBody || len(f.head) > 0 }

// close releases the memory of an incomplete body. It reports whether a part of a
// request was received.
func (f *framer) close() (partial bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	partial = f.partial()
	f.releaseMemory(f.heldBytes)
	f.heldBytes = 0
	return partial
}

// takeBody returns the body of the request that was just parsed. The caller
// releases its memory with releaseMemory.
func (f *framer) takeBody() []byte {
	body := f.body
	f.body, f.heldBytes = nil, 0
	return body
}
