package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// problemPrefix precedes the kind in the type member of a problem document.
const problemPrefix = "urn:vanillasail:problem:"

// problem is a problem document as in RFC 9457.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy,omitempty"`
	Outcome string `json:"outcome"`
	ID      string `json:"instance,omitempty"`
}

// respondFault makes the response to a request that failed in the system.
func respondFault(f *fault.Error, id string) *http.Response {
	body, err := json.Marshal(problem{
		Type:    problemPrefix + string(f.Kind),
		Title:   http.StatusText(f.Status),
		Status:  f.Status,
		Detail:  f.Detail,
		Remedy:  f.Remedy,
		Outcome: f.Outcome.String(),
		ID:      id,
	})
	if err != nil {
		body = []byte(`{"title":"` + http.StatusText(f.Status) + `"}`)
	}
	response := http1.Bytes(f.Status, "application/problem+json", body)
	response.Header.Set(call.HeaderOutcome, f.Outcome.String())
	if id != "" {
		response.Header.Set(call.HeaderID, id)
	}
	if f.Wait > 0 {
		response.Header.Set("Retry-After", strconv.Itoa(retryAfter(f.Wait)))
	}
	return response
}

// retryAfter rounds up to whole seconds, the unit of Retry-After.
func retryAfter(d time.Duration) int { return int(math.Ceil(d.Seconds())) }
