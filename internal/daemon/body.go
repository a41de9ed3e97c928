package daemon

import (
	"io"
	"sync"
)

// releasingBody runs release once when the body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
	once    sync.Once
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

// trackedBody reports once, on Close, how the body ended: complete after io.EOF, with
// an error, or neither if the reader closed it early.
type trackedBody struct {
	io.ReadCloser
	onClose  func(complete bool, err error)
	once     sync.Once
	complete bool
	err      error
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete = true
	} else if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.onClose(b.complete, b.err) })
	return err
}
