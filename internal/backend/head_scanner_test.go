package backend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against lines that are overlooked because they arrive in parts, and against bytes
// of a body that are taken for lines of the head.
func TestHeadScanner(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		folded bool
		rest   string
	}{
		"plain":                {"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", false, "body"},
		"line feeds":           {"HTTP/1.1 200 OK\nA: b\n\n body", false, " body"},
		"blank at the start":   {"HTTP/1.1 200 OK\r\n A: b\r\n\r\n", true, ""},
		"tab":                  {"HTTP/1.1 200 OK\r\nA: b\r\n\tc\r\n\r\nx", true, "x"},
		"after a line feed":    {"HTTP/1.1 200 OK\nA: b\n c\n\n", true, ""},
		"line of blanks":       {"HTTP/1.1 200 OK\r\nA: b\r\n \r\n\r\n", true, ""},
		"blank in a body":      {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n\r\n a", false, "\r\n a"},
		"blank before status":  {" HTTP/1.1 200 OK\r\n\r\n", false, ""},
		"carriage returns":     {"HTTP/1.1 200 OK\r\n\r\r\n\r\n", false, ""},
		"head without an end":  {"HTTP/1.1 200 OK\r\nA: b\r\n", false, ""},
		"unfinished last line": {"HTTP/1.1 200 OK\r\nA: b\r\n ", true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var whole headScanner
			whole.begin([]byte(c.text))
			assert.Equal(t, whole.err() != nil, c.folded)
			assert.Equal(t, string(whole.rest), c.rest)
			for i := range c.text {
				var parts headScanner
				parts.begin([]byte(c.text[:i]))
				parts.scan([]byte(c.text[i:]))
				assert.Equal(t, parts.err() != nil, c.folded, "divided at %d", i)
				assert.Equal(t, parts.ended, whole.ended)
			}
		})
	}
}

// Guards against an encoding that is overlooked, or found in a value or a body.
func TestHeadScannerFindsTheEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		text    string
		encoded bool
	}{
		"usual":            {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"other case":       {"HTTP/1.0 200 OK\nA: b\ntransfer-ENCODING:chunked\n\n", true},
		"another name":     {"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n", false},
		"start of it":      {"HTTP/1.0 200 OK\r\nTransfer: chunked\r\n\r\n", false},
		"end of a name":    {"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n", false},
		"in a value":       {"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n", false},
		"in a body":        {"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n", false},
		"nearly, then not": {"HTTP/1.0 200 OK\r\nTransfer-Encxding: chunked\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.text {
				var s headScanner
				s.begin([]byte(c.text[:i]))
				s.scan([]byte(c.text[i:]))
				assert.Equal(t, s.encoded, c.encoded, "divided at %d", i)
			}
		})
	}
}
