package call

import (
	"net/http"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// CheckStatus returns an error if no final answer can have the status. Statuses below 100 are
// none in HTTP, and those below 200 are interim: the final answer follows them. 101 is not
// followed by an answer, and nodes ask for no other protocol.
func CheckStatus(status int) error {
	if status < http.StatusOK {
		return eris.Errorf("status %03d is not that of an answer", status)
	}
	return nil
}

// IsInterim reports whether an answer with the status is followed by the final one.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckNames returns an error if a header or trailer has a name that is none in HTTP.
// net/http accepts names with spaces. It does not apply the line, so that a length with a
// space before the colon does not limit the body.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("header name %.80q has characters that names cannot have", name)
		}
	}
	return nil
}
