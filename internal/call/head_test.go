package call

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against statuses that are none in HTTP, or not the final ones, and against a check
// that rejects statuses which are not registered.
func TestStatuses(t *testing.T) {
	for name, c := range map[string]struct {
		status         int
		final, interim bool
	}{
		"negative":           {-1, false, false},
		"zero":               {0, false, false},
		"below 100":          {99, false, false},
		"continue":           {100, false, true},
		"switch":             {101, false, false},
		"early hints":        {103, false, true},
		"other interim":      {199, false, true},
		"success":            {200, true, false},
		"other success":      {299, true, false},
		"too large":          {413, true, false},
		"other server error": {599, true, false},
		"not registered":     {999, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CheckStatus(c.status) == nil, c.final)
			assert.Equal(t, IsInterim(c.status), c.interim)
		})
	}
}
