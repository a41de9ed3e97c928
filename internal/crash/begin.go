// Package crash starts requests on the local server as a quarantine.Table permits:
// it delays suspects and refuses quarantined requests.
package crash

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// suspectPollInterval is the interval between the attempts to start a suspect.
const suspectPollInterval = 10 * time.Millisecond

// Begin registers a request as running. Unlike quarantine.Table.Begin, it waits
// while a suspect may not start because another suspect runs. ok is false if the
// request is quarantined or if the context ended before the request was started.
func Begin(ctx context.Context, t *quarantine.Table, fingerprint quarantine.Fingerprint) (s quarantine.Start, ok bool) {
	clock.Poll(ctx, suspectPollInterval, func() bool {
		s, ok = t.Begin(fingerprint, time.Now())
		return ok || s.Verdict == quarantine.Refuse
	})
	return s, ok
}

// Refusal returns the error for a quarantined request.
func Refusal(r call.Request) *fault.Error {
	return fault.New(fault.KindQuarantined, "requests with the content of %s crashed two backend servers", r.ID)
}
