package http1

import (
	"context"
	"time"
)

// Drain stops the server gracefully. From now on responses have "Connection:
// close". For the notice period new connections are still accepted, so that callers
// can move to other nodes, and after it as long as Needed returns true. Then Drain
// closes the listener and the idle connections and waits until ctx ends for requests
// that are in flight or arriving. It returns the number of connections that still have
// one.
func (s *Server) Drain(ctx context.Context, notice time.Duration) int {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	wait(ctx, notice)
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for s.Needed != nil && s.Needed() && ctx.Err() == nil {
		select {
		case <-poll.C:
		case <-ctx.Done():
		}
	}
	_ = s.listener.Close()
	for {
		left := s.closeIdle()
		if left == 0 {
			return 0
		}
		select {
		case <-poll.C:
		case <-ctx.Done():
			return left
		}
	}
}

// closeIdle closes the connections without a request in flight or arriving, except
// those whose caller may still read the last response. It returns the number of those
// that stay open.
func (s *Server) closeIdle() (busy int) {
	for _, c := range s.snapshot() {
		if c.framer.endIfIdle(c.isDrained) {
			c.end(endDrain, nil)
		} else {
			busy++
		}
	}
	return busy
}

// Close stops the server and closes all connections immediately.
func (s *Server) Close() {
	s.closing.Do(func() {
		close(s.stopped)
		_ = s.listener.Close()
		for _, c := range s.snapshot() {
			c.pipeline.cancel()
			c.end(endStop, nil)
		}
		s.engine.Stop()
	})
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
