package backend

import (
	"cmp"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
)

// errFolded is the error for a head with a line that begins with a blank. net/http joins
// such a line with the one before, so that a header on it has no effect.
var errFolded = errors.New("the header of the answer has a line that begins with a blank")

// headScanner finds lines that begin with a blank in the bytes of a head. It does not
// interpret them otherwise. Its zero value is at the beginning of a head.
type headScanner struct {
	// line and column are the numbers of complete lines and of bytes in the current one.
	line, column int
	// cr is set when the current line is a carriage return only.
	cr bool
	// folded is set when a line begins with a blank, and ended after the empty line that
	// ends the head.
	folded, ended bool
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
			s.line, s.column, s.cr = s.line+1, 0, false
			continue
		}
		if s.column == 0 {
			s.folded = s.folded || s.line > 0 && (b == ' ' || b == '\t')
			s.cr = b == '\r'
		}
		s.column++
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
	return cmp.Or(call.CheckNames(response.Header), scanned.err())
}
