// Package clock provides sleeping and polling that a context can end.
package clock

import (
	"context"
	"time"
)

// Poll calls done, with pauses, until it returns true. It returns false if ctx
// ended before.
func Poll(ctx context.Context, pause time.Duration, done func() bool) bool {
	for !done() {
		if !Sleep(ctx, pause) {
			return false
		}
	}
	return true
}

// Sleep waits for d and returns true. It returns false at once when ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
