// Package clock waits for points in time.
package clock

import (
	"context"
	"time"
)

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
