// Package clock waits for points in time.
package clock

import (
	"context"
	"time"
)

// Poll calls done until it is true, with pauses, and reports false if ctx ended
// before.
func Poll(ctx context.Context, pause time.Duration, done func() bool) bool {
	for !done() {
		if !Sleep(ctx, pause) {
			return false
		}
	}
	return true
}

// Sleep reports whether the time passed before ctx ended.
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
