// Package clock provides sleeping and polling that end with a context.
package clock

import (
	"context"
	"time"
)

// Poll calls done, with pauses, until done returns true. Poll returns false if ctx
// ends before that.
func Poll(ctx context.Context, pause time.Duration, done func() bool) bool {
	for !done() {
		if !Sleep(ctx, pause) {
			return false
		}
	}
	return true
}

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
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
