package backend

import (
	"cmp"
	"io"
	"net/http"

	"github.com/vanillasail/vanillasail/internal/call"
)

// sending is the sending of one request, which may go on while its answer is read.
type sending struct {
	// done is closed when the sending has ended.
	done chan struct{}
	// err is set before done is closed; nil if the whole request was sent.
	err error
}

func (s *sending) end(err error) {
	s.err = err
	close(s.done)
}

// wait waits until the sending has ended and returns its error.
func (s *sending) wait() error {
	<-s.done
	return s.err
}

// complete reports whether the whole request was sent, without waiting.
func (s *sending) complete() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// endsWithConn reports whether only the end of the connection shows where the body ends.
func endsWithConn(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unframedBody is a body that ends with the connection. The kernel reports a reset of the
// connection once: if a write gets the error, reads return io.EOF afterwards, as if the
// server had closed the connection. The body is complete only if the whole request was
// sent, so that no write can have got it.
type unframedBody struct {
	io.ReadCloser
	sent *sending
}

// Read implements io.Reader. At the end of the body it waits for the request, at most until
// the connection is closed at the deadline.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.sent.wait() != nil {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// trailedBody is a body whose end is valid only with valid names in the trailer.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = cmp.Or(call.CheckNames(b.response.Trailer), err)
	}
	return n, err
}
