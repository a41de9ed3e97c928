package backend

import (
	"cmp"
	"errors"
	"net/http"
	"unicode"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
)

// errFolded is the error for a head with a line that begins with a blank. net/http joins
// such a line with the one before, so that a header on it has no effect.
var errFolded = errors.New("the header of the answer has a line that begins with a blank")

// errEncoded is the error for chunks over HTTP/1.0, which has none. net/http passes them on
// with their sizes and removes the header that shows it.
var errEncoded = errors.New("the answer has a Transfer-Encoding in HTTP/1.0")

const encodingName = "transfer-encoding"

// headScanner finds what net/http hides of a head: lines that begin with a blank, and a
// Transfer-Encoding. Its zero value is at the beginning of a head.
type headScanner struct {
	// line and column are the numbers of complete lines and of bytes in the current one.
	line, column int
	// cr is set when the current line is a carriage return only.
	cr bool
	// folded is set when a line begins with a blank, and ended after the empty line that
	// ends the head.
	folded, ended bool
	// matched is the number of bytes at the start of the current line that agree with
	// encodingName, and encoded is set when a line has that name.
	matched int
	encoded bool
	// rest holds the bytes behind the head that arrived with its end. It is valid until the
	// next read.
	rest []byte
}

// begin starts with the next head, of which some bytes may have arrived already.
func (s *headScanner) begin(arrived []byte) {
	*s = headScanner{}
	s.scan(arrived)
}

// scan processes the next bytes of the connection. Those behind the head are ignored.
func (s *headScanner) scan(p []byte) {
	if s.ended {
		return
	}
	for i, b := range p {
		if b == '\n' {
			if s.column == 0 || s.column == 1 && s.cr {
				s.ended, s.rest = true, p[i+1:]
				return
			}
			s.line, s.column, s.cr, s.matched = s.line+1, 0, false, 0
			continue
		}
		if s.column == 0 {
			s.folded = s.folded || s.line > 0 && (b == ' ' || b == '\t')
			s.cr = b == '\r'
		}
		s.match(b)
		s.column++
	}
}

// match compares the next byte of a line with encodingName.
func (s *headScanner) match(b byte) {
	switch {
	case s.matched < s.column:
	case s.matched == len(encodingName):
		s.encoded = s.encoded || b == ':'
	case unicode.ToLower(rune(b)) == rune(encodingName[s.matched]):
		s.matched++
	}
}

// err returns errFolded if a line begins with a blank.
func (s *headScanner) err() error {
	if s.folded {
		return errFolded
	}
	return nil
}

// checkHead returns an error if net/http has accepted a head that is none in HTTP/1.1. The
// caller checks the status.
func checkHead(response *http.Response, scanned *headScanner) error {
	if response.ProtoMajor != 1 {
		return eris.Errorf("an answer in %.20q is none in HTTP/1.1", response.Proto)
	}
	if scanned.encoded && !response.ProtoAtLeast(1, 1) {
		return errEncoded
	}
	return cmp.Or(call.CheckNames(response.Header), scanned.err())
}
