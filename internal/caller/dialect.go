package caller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// nativeDialect implements Dialect with the headers that package call defines.
type nativeDialect struct {
	rules Rules
}

// Parse implements Dialect.
func (d nativeDialect) Parse(r *http.Request, body []byte, now time.Time) (call.Request, error) {
	return parse(r, body, d.rules, now)
}

// SetAnswerHeaders implements Dialect.
func (nativeDialect) SetAnswerHeaders(h http.Header, r call.Request, a *call.Answer) {
	h.Set(call.HeaderID, r.ID)
	h.Set(call.HeaderOutcome, fault.Ran.String())
	h.Set(call.HeaderAllowance, strconv.Itoa(a.Allowance))
	if a.Replayed {
		h.Set(call.HeaderReplayed, "true")
	}
}

// SetErrorHeaders implements Dialect.
func (nativeDialect) SetErrorHeaders(h http.Header, id string, f *fault.Error) {
	h.Set(call.HeaderOutcome, f.Outcome.String())
	if id != "" {
		h.Set(call.HeaderID, id)
	}
	if f.Wait > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfter(f.Wait)))
	}
}

// retryAfter rounds a duration up to whole seconds, the unit of Retry-After.
func retryAfter(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
