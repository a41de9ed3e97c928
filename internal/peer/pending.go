package peer

import "context"

// Pending is the ErrNoAck of a request that is still open. The caller must call Await.
type Pending struct {
	stream *stream
}

// Error implements the error interface.
func (p *Pending) Error() string { return ErrNoAck.Error() }

// Unwrap returns ErrNoAck.
func (p *Pending) Unwrap() error { return ErrNoAck }

// Await returns the answer to the request. The request is canceled when Await returns an
// error, and when ctx ends.
func (p *Pending) Await(ctx context.Context) (*Answer, error) {
	return p.stream.finish(ctx, p.stream.awaitHead(ctx, 0))
}
