package peer

import (
	"context"
	"io"
	"sync"
)

// stream is one request on the dialling side.
type stream struct {
	id   uint32
	link *link

	// accepted is closed when the peer has the request, head when it answers or
	// the stream has failed.
	accepted, head chan struct{}

	mu     sync.Mutex
	cond   sync.Cond
	answer []byte
	chunks [][]byte
	// consumed counts bytes that were read and not yet credited.
	consumed int
	ended    bool
	err      error
	// taken and told are set when accepted and head are closed.
	taken, told bool
}

func newStream(id uint32, l *link) *stream {
	s := &stream{id: id, link: l, accepted: make(chan struct{}), head: make(chan struct{})}
	s.cond.L = &s.mu
	return s
}

// deliver takes a frame of the answer.
func (s *stream) deliver(f frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	s.accept()
	switch f.kind {
	case frameHead:
		s.answer = f.payload
		s.tell()
	case frameData:
		s.chunks = append(s.chunks, f.payload)
	case frameEnd:
		s.ended = true
	case frameReset:
		s.err = ErrTruncated
		s.tell()
	}
	s.cond.Broadcast()
}

func (s *stream) accept() {
	if !s.taken {
		s.taken = true
		close(s.accepted)
	}
}

func (s *stream) tell() {
	if !s.told {
		s.told = true
		close(s.head)
	}
}

// fail ends the stream; an answer that is already whole can still be read.
func (s *stream) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.err != nil {
		return
	}
	s.err = err
	s.tell()
	s.cond.Broadcast()
}

// Read implements io.Reader. It returns io.EOF only after the whole answer.
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
	credit := 0
	if s.consumed += n; s.consumed >= answerWindow/4 && !s.ended {
		credit, s.consumed = s.consumed, 0
	}
	s.mu.Unlock()
	if credit > 0 {
		s.link.credit(s.id, credit)
	}
	return n, nil
}

// Close gives the answer up if it is not whole.
func (s *stream) Close() error {
	s.mu.Lock()
	whole := s.ended
	s.mu.Unlock()
	s.link.drop(s, !whole)
	s.fail(context.Canceled)
	return nil
}
