package peer

import (
	"context"
	"io"
	"sync"
	"time"
)

// stream is the client side of one request.
type stream struct {
	id   uint32
	link *link
	// opened is when the request was about to be sent.
	opened time.Time

	// accepted is closed when the peer has acknowledged the request, head when the
	// head of the answer has arrived or the stream has failed.
	accepted, head chan struct{}

	mu     sync.Mutex
	cond   sync.Cond
	answer []byte
	chunks [][]byte
	// unread is the number of bytes in chunks. A peer that exceeds the window, which small
	// answers do not count against, ends the stream.
	unread int
	// uncredited counts bytes that were read and not yet credited to the peer.
	uncredited int
	ended      bool
	err        error
	// acceptedClosed and headClosed prevent a second close of accepted and head.
	acceptedClosed, headClosed bool
}

func newStream(id uint32, l *link) *stream {
	s := &stream{id: id, link: l, opened: time.Now(), accepted: make(chan struct{}), head: make(chan struct{})}
	s.cond.L = &s.mu
	return s
}

// deliver handles a frame of the answer.
func (s *stream) deliver(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	s.closeAccepted()
	switch f.kind {
	case frameHead:
		s.answer = f.payload
		s.closeHead()
	case frameData:
		if s.unread += len(f.payload); s.unread > answerWindow+dataFrameSize {
			s.err, s.chunks = ErrTruncated, nil
			s.closeHead()
		} else if len(f.payload) > 0 {
			s.chunks = append(s.chunks, f.payload)
		}
	case frameEnd:
		s.ended = true
	case frameReset:
		s.err = ErrTruncated
		s.closeHead()
	}
	s.cond.Broadcast()
}

func (s *stream) closeAccepted() {
	if !s.acceptedClosed {
		s.acceptedClosed = true
		close(s.accepted)
	}
}

func (s *stream) closeHead() {
	if !s.headClosed {
		s.headClosed = true
		close(s.head)
	}
}

// fail ends the stream with an error, unless the answer has arrived completely.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	s.err = err
	s.closeHead()
	s.cond.Broadcast()
}

// finish returns the answer to a request of which the head was awaited.
func (s *stream) finish(ctx context.Context, err error) (*Answer, error) {
	if err != nil {
		s.link.dropStream(s, true)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.fail(ctx.Err())
		s.link.dropStream(s, true)
	})
	return &Answer{Head: s.answer, Body: &answerBody{stream: s, stop: stop}, link: s.link}, nil
}

// awaitHead waits for the head of the answer. Unless ackTimeout is zero, it returns
// ErrNoAck if the peer does not acknowledge the request in that time.
func (s *stream) awaitHead(ctx context.Context, ackTimeout time.Duration) error {
	if ackTimeout > 0 {
		timer := time.NewTimer(ackTimeout)
		defer timer.Stop()
		select {
		case <-s.accepted:
		case <-s.head:
		case <-timer.C:
			select {
			case <-s.accepted:
			case <-s.head:
			default:
				return ErrNoAck
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-s.head:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.answer == nil {
			return s.err
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	for len(s.chunks) == 0 && !s.ended && s.err == nil {
		s.cond.Wait()
	}
	if len(s.chunks) == 0 {
		defer s.mu.Unlock()
		if s.err != nil {
			return 0, s.err
		}
		return 0, io.EOF
	}
	n := copy(p, s.chunks[0])
	if s.chunks[0] = s.chunks[0][n:]; len(s.chunks[0]) == 0 {
		s.chunks = s.chunks[1:]
	}
	s.unread -= n
	credit := 0
	if s.uncredited += n; s.uncredited >= answerWindow/4 && !s.ended {
		credit, s.uncredited = s.uncredited, 0
	}
	s.mu.Unlock()
	if credit > 0 {
		s.link.credit(s.id, credit)
	}
	return n, nil
}

// Close releases the stream and cancels the request if the answer is incomplete.
func (s *stream) Close() error {
	s.mu.Lock()
	complete := s.ended
	s.mu.Unlock()
	s.link.dropStream(s, !complete)
	s.fail(context.Canceled)
	return nil
}
