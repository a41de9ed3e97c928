package caller

import (
	"encoding/json"
	"net/http"

	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// problemPrefix precedes the error kind in the type member of a problem document.
const problemPrefix = "urn:vanillasail:problem:"

// problem is a problem document (RFC 9457).
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Remedy  string `json:"remedy,omitempty"`
	Outcome string `json:"outcome"`
	ID      string `json:"instance,omitempty"`
}

// errorResponse returns the response to a request that was not answered by a
// backend server.
func (s *Server) errorResponse(f *fault.Error, id string) *http.Response {
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
	s.Dialect.SetErrorHeaders(response.Header, id, f)
	return response
}
