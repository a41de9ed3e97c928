package crash

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

const (
	minSaveBackoff = 300 * time.Millisecond
	maxSaveBackoff = 5 * time.Second
)

// Save saves an incident where it outlasts a restart of all nodes. It returns the error of
// the first attempt, and repeats a failed one in the background until ctx ends or the
// request could be tried again anyway.
func Save(ctx context.Context, i quarantine.Incident, save func(context.Context, quarantine.Incident) error) error {
	began := time.Now()
	first := save(ctx, i)
	if first == nil {
		return nil
	}
	go func() {
		for wait := minSaveBackoff; ctx.Err() == nil && time.Since(began) < quarantine.Quarantine; wait = min(2*wait, maxSaveBackoff) {
			clock.Sleep(ctx, retry.Jitter(wait, nil))
			if save(ctx, i.WithAge(i.Age+time.Since(began))) == nil {
				return
			}
		}
	}()
	return first
}
