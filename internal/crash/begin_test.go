package crash

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// Guards against a suspect that runs at the same time as another one, that waits
// although the other one has ended or its caller has left, and against a quarantined
// request that waits.
func TestBegin(t *testing.T) {
	const suspect, other = quarantine.Fingerprint(1), quarantine.Fingerprint(2)
	for name, c := range map[string]struct {
		incidents []quarantine.Incident
		// ends is the duration of the other request, callerTimeout the time that the
		// caller waits.
		ends, callerTimeout time.Duration
		took                time.Duration
		ok                  bool
	}{
		"no suspect":              {nil, time.Hour, time.Second, 0, true},
		"waits for the other one": {[]quarantine.Incident{{ID: 1, Fingerprints: quarantine.Fingerprints{suspect, other}}}, 45 * time.Millisecond, time.Second, 50 * time.Millisecond, true},
		"caller leaves":           {[]quarantine.Incident{{ID: 1, Fingerprints: quarantine.Fingerprints{suspect, other}}}, time.Hour, 25 * time.Millisecond, 25 * time.Millisecond, false},
		"refused":                 {[]quarantine.Incident{{ID: 1, Fingerprints: quarantine.Fingerprints{suspect}, SoleSuspect: suspect}}, time.Hour, time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table quarantine.Table
				for _, i := range c.incidents {
					table.Merge(i, time.Now())
				}
				running, ok := table.Begin(other, time.Now())
				assert.Assert(t, ok)
				time.AfterFunc(c.ends, func() { table.End(running, true, time.Now()) })
				ctx, cancel := context.WithTimeout(t.Context(), c.callerTimeout)
				defer cancel()
				began := time.Now()
				_, ok = Begin(ctx, &table, suspect)
				assert.Equal(t, ok, c.ok)
				assert.Equal(t, time.Since(began), c.took)
			})
		})
	}
}
