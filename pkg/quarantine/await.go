package quarantine

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
)

// suspectPause is how often a suspect asks again whether it may run.
const suspectPause = 10 * time.Millisecond

// Await starts a request, which as a suspect waits until no other suspect runs.
// It is false if the request is refused, or the context ended before it began.
func (t *Table) Await(ctx context.Context, p Fingerprint) (s Start, ok bool) {
	for {
		s, ok = t.Begin(p, time.Now())
		if ok || s.Verdict == Refuse || !clock.Sleep(ctx, suspectPause) {
			return s, ok
		}
	}
}
