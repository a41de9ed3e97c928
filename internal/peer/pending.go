package peer

import (
	"context"
	"time"
)

// Pending is the ErrNoAck of a request that is still open. The caller must call Await.
type Pending struct {
	stream *stream
}

// Error implements the error interface.
func (p *Pending) Error() string { return ErrNoAck.Error() }

// Unwrap returns ErrNoAck.
func (p *Pending) Unwrap() error { return ErrNoAck }

// Await returns the answer to the request. It returns ErrNoAck if the peer has not
// acknowledged the request within ackTimeout after it was sent. The request is canceled
// when Await returns an error, and when ctx ends.
func (p *Pending) Await(ctx context.Context, ackTimeout time.Duration) (*Answer, error) {
	left := max(ackTimeout-time.Since(p.stream.opened), time.Nanosecond)
	return p.stream.finish(ctx, p.stream.awaitHead(ctx, left))
}
