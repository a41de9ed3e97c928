package daemon

import "time"

// retries grants the allowance of a chain of calls.
type retries struct{}

func (r *retries) grant(time.Time) int { return 1 }
