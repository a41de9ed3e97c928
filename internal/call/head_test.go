package call

import (
	"net/http"
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

// Guards against names that net/http accepts although they are none, and against a check that
// rejects unusual ones.
func TestNames(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		ok     bool
	}{
		"usual":                  {"Content-Length", true},
		"all kinds of letters":   {"!#$%&'*+-.^_`|~09aZ", true},
		"space before the colon": {"Content-Length ", false},
		"space before the name":  {" Content-Length", false},
		"space inside":           {"Content Length", false},
		"tab":                    {"Content-Length\t", false},
		"control byte":           {"Content\x07Length", false},
		"empty":                  {"", false},
		"not ASCII":              {"Größe", false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CheckNames(http.Header{"A": {"b"}, c.header: {"1"}}) == nil, c.ok)
		})
	}
}
