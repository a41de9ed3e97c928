// Package crash applies a quarantine.Table to the requests of a running node.
package crash

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// suspectPause is how often a suspect asks again whether it may run.
const suspectPause = 10 * time.Millisecond

// Begin starts a request, which as a suspect waits until no other suspect runs.
// It is false if the request is refused, or the context ended before it began.
func Begin(ctx context.Context, t *quarantine.Table, p quarantine.Fingerprint) (s quarantine.Start, ok bool) {
	clock.Poll(ctx, suspectPause, func() bool {
		s, ok = t.Begin(p, time.Now())
		return ok || s.Verdict == quarantine.Refuse
	})
	return s, ok
}

// Refusal is the error of a quarantined request.
func Refusal(r call.Request) *fault.Error {
	return fault.New(fault.KindQuarantined, "requests with the content of %s crashed two backend servers", r.ID)
}
