package store

import (
	"context"
	"io"
	"time"
)

// limit ends a request at a time that moves on while its reply arrives.
type limit struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// until is when the request ends if nothing more arrives.
	until time.Time
}

// newLimit returns a context that ends with context.DeadlineExceeded as its cause after the
// timeout, or when the limit ends.
func newLimit(ctx context.Context, timeout time.Duration) (context.Context, *limit) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &limit{cancel: cancel, until: time.Now().Add(timeout)}
	l.timer = time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	return ctx, l
}

// end releases the context.
func (l *limit) end() {
	l.timer.Stop()
	l.cancel(context.Canceled)
}

// reader returns a reader that moves the limit on by the time that each read takes at
// minRate.
func (l *limit) reader(r io.Reader) io.Reader { return &limitedReader{r, l} }

type limitedReader struct {
	io.Reader
	limit *limit
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	// A timer that has fired has canceled the context already.
	if n > 0 && r.limit.timer.Stop() {
		r.limit.until = r.limit.until.Add(time.Duration(n) * time.Second / minRate)
		r.limit.timer.Reset(time.Until(r.limit.until))
	}
	return n, err
}
