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

// trackedBody tells once how the body ended: whole after io.EOF, with an error,
// or neither when the reader gave it up.
type trackedBody struct {
	io.ReadCloser
	ended func(whole bool, err error)
	once  sync.Once
	whole bool
	err   error
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole = true
	} else if err != nil {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.ended(b.whole, b.err) })
	return err
}
