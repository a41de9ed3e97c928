package owner

import (
	"context"
	"sync"
)

// tasks runs functions in goroutines and counts those in progress. Unlike
// sync.WaitGroup, it allows Wait while new goroutines start.
type tasks struct {
	mu sync.Mutex
	n  int
	// idle is closed when n becomes zero. It is nil without a waiter.
	idle chan struct{}
}

// Go runs f in a goroutine.
func (t *tasks) Go(f func()) {
	t.mu.Lock()
	t.n++
	t.mu.Unlock()
	go func() {
		defer t.done()
		f()
	}()
}

func (t *tasks) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n--; t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait returns nil when no goroutine is running, or an error when ctx is done.
func (t *tasks) Wait(ctx context.Context) error {
	t.mu.Lock()
	if t.n == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
