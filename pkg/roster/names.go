package roster

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// CheckServerID returns an error unless id can name a backend server. Such a name is sent
// in a header and must arrive there unchanged.
func CheckServerID(id string) error {
	if !isName(id) || strings.ContainsFunc(id, unicode.IsSpace) {
		return fault.New(fault.KindBadRequest, "%.40q cannot name a backend server", id).
			WithRemedy("use 1 to 200 bytes of UTF-8 without white space or control characters")
	}
	return nil
}

// isName reports whether s can be a name in an entry.
func isName(s string) bool {
	return s != "" && len(s) <= maxText && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}
