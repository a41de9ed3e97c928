package caller

import (
	"io"
	"sync"
)

// observedBody calls done once when the answer's body is closed, with the first
// read error other than io.EOF.
type observedBody struct {
	io.ReadCloser
	done func(err error)
	once sync.Once
	err  error
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}

// Close implements io.Closer.
func (b *observedBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() { b.done(b.err) })
	return err
}
