package http1

import (
	"context"
	"time"
)

// Drain answers with "Connection: close" from now on and goes on accepting for
// the notice, so that callers can move their connections; then it closes the
// listener and idle connections and waits for requests in flight until ctx
// ends. It returns the number of requests that were left.
func (s *Server) Drain(ctx context.Context, notice time.Duration) int {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	wait(ctx, notice)
	_ = s.listener.Close()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
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

// closeIdle closes connections without a request and counts the others.
func (s *Server) closeIdle() (busy int) {
	for _, c := range s.snapshot() {
		if c.pending.Load() > 0 {
			busy++
			continue
		}
		_ = c.Close()
	}
	return busy
}

// Close ends all connections at once.
func (s *Server) Close() {
	s.closing.Do(func() {
		close(s.stopped)
		_ = s.listener.Close()
		for _, c := range s.snapshot() {
			c.cancelRequest()
			_ = c.Close()
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
