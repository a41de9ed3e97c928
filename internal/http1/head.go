package http1

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// framing holds the header fields that determine where a request ends.
type framing struct {
	// length is the declared length of the body, or zero if there is no body.
	length  int
	chunked bool
	// sized is set when a body is declared, even an empty one.
	sized bool
	// lines are the request line and the header lines as they were read, without those
	// that declare the body.
	lines []byte
}

// maxLengthLine is the size of the longest Content-Length line.
const maxLengthLine = len("Content-Length: \r\n") + maxLengthDigits

// readHead checks a header as strictly as RFC 9112 requires of a recipient. If two
// recipients disagree about the end of a request, a caller can smuggle a second
// request in the body of the first.
func readHead(raw []byte) (framing, error) {
	var h framing
	line, rest, ok := cutLine(raw)
	if !ok {
		return h, eris.New("the request line does not end with CRLF")
	}
	version, err := readRequestLine(line)
	if err != nil {
		return h, err
	}
	h.lines = make([]byte, 0, len(raw)+maxLengthLine)
	h.lines = appendLine(h.lines, line)
	lengths, hosts := 0, 0
	for {
		line, rest, ok = cutLine(rest)
		switch {
		case !ok:
			return h, eris.New("a header line does not end with CRLF")
		case len(line) == 0:
			return h, h.check(version, lengths, hosts)
		}
		name, value, err := readField(line)
		if err != nil {
			return h, err
		}
		switch {
		case equalFold(name, "Content-Length"):
			if lengths++; lengths > 1 {
				return h, eris.New("more than one Content-Length")
			}
			if h.length, err = readLength(value); err != nil {
				return h, err
			}
		case equalFold(name, "Transfer-Encoding"):
			if h.chunked || !equalFold(value, "chunked") {
				return h, eris.Errorf("transfer coding %.40q is not supported; send chunked once", value)
			}
			h.chunked = true
		case equalFold(name, "Host"):
			hosts++
			h.lines = appendField(h.lines, name, value)
		default:
			h.lines = appendField(h.lines, name, value)
		}
		h.sized = h.chunked || lengths > 0
	}
}

func (h framing) check(version byte, lengths, hosts int) error {
	switch {
	case h.chunked && lengths > 0:
		return eris.New("both Content-Length and Transfer-Encoding")
	case h.chunked && version == '0':
		return eris.New("Transfer-Encoding in HTTP/1.0")
	case hosts > 1 || hosts == 0 && version != '0':
		return eris.Errorf("%d Host lines; send exactly one", hosts)
	}
	return nil
}

// head returns the header of a request with a body of n bytes. It is written from the
// fields that were read and has no transfer coding, so that nbhttp's parser, which
// accepts more than readHead, cannot find another end of the request.
func (h framing) head(n int) []byte {
	out := h.lines
	if h.sized {
		out = append(out, "Content-Length: "...)
		out = append(strconv.AppendInt(out, int64(n), 10), "\r\n"...)
	}
	return append(out, "\r\n"...)
}

func appendLine(b, line []byte) []byte { return append(append(b, line...), "\r\n"...) }

func appendField(b, name, value []byte) []byte {
	b = append(append(b, name...), ": "...)
	return appendLine(b, value)
}

// readRequestLine returns the minor version.
func readRequestLine(line []byte) (version byte, err error) {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	target, protocol, ok2 := bytes.Cut(rest, []byte(" "))
	if !ok || !ok2 || !isMethod(method) || len(target) == 0 || !isVisible(target) {
		return 0, eris.Errorf("malformed request line %.80q", line)
	}
	if string(protocol) != "HTTP/1.1" && string(protocol) != "HTTP/1.0" {
		return 0, eris.Errorf("protocol %.20q is not supported", protocol)
	}
	return protocol[len(protocol)-1], nil
}

func readField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return nil, nil, eris.Errorf("malformed header line %.80q", line)
	}
	value = bytes.Trim(value, " \t")
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, nil, eris.Errorf("control character in the value of %.40q", name)
		}
	}
	return name, value, nil
}

// maxLengthDigits keeps a length within the range of int.
const maxLengthDigits = 18

func readLength(value []byte) (int, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, eris.Errorf("Content-Length %.40q is not a length", value)
	}
	n := 0
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, eris.Errorf("Content-Length %.40q is not a length", value)
		}
		n = n*10 + int(c-'0')
	}
	return n, nil
}

// cutLine splits at the first CRLF. It fails if a bare CR or LF precedes it.
func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0 {
		return nil, b, false
	}
	return b[:i-1], b[i+1:], true
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return len(b) > 0
}

// isMethod reports whether b is a method in upper case. nbhttp's parser would turn
// another one, which names another method, into upper case.
func isMethod(b []byte) bool { return isToken(b) && bytes.Equal(b, bytes.ToUpper(b)) }

func isVisible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

func equalFold(b []byte, s string) bool { return bytes.EqualFold(b, []byte(s)) }
