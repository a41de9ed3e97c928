package backend

import (
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// HeaderNames holds the names of the headers that a backend server supports. A
// header with an empty name is neither sent nor read.
type HeaderNames struct {
	// ID carries the request's ID in both directions.
	ID string
	// Deadline carries the milliseconds until the deadline.
	Deadline string
	// Target carries the ID of the server that the request is addressed to. Another
	// server that has taken over the address does not run it.
	Target string
	// Origin carries the service on the host of the node that received the request
	// from its caller.
	Origin string
	// NotRun is set in the answer to a request that was not run.
	NotRun string
	// Seal is a header that every answer with a status below 300 must have. Only its
	// presence is checked.
	Seal string
	// Load carries the numbers of running requests, waiting requests and slots, and
	// optionally the slowdown in percent, where 100 is normal, separated by commas.
	Load string
	// Instance carries the answering server's own ID. It is read from the answers to
	// probes, whereas Target is sent with requests.
	Instance string
}

// Reserved returns the names of the request headers that the node sets itself.
// Values that a caller sent in them are not passed on.
func (n HeaderNames) Reserved() []string { return []string{n.ID, n.Deadline, n.Target, n.Origin} }

// ServerLoad is the load that a server reports with an answer.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is 1 normally, greater when the server's host is slow, and 0 when the
	// server does not report it.
	Slowdown float64
}

// maxLoadValue is the largest plausible value in a load header.
const maxLoadValue = 1 << 16

// parseLoad parses the load header; ok is false when it is missing or malformed.
func (n HeaderNames) parseLoad(h http.Header) (load ServerLoad, ok bool) {
	if n.Load == "" {
		return load, false
	}
	parts := strings.Split(h.Get(n.Load), ",")
	if len(parts) < 3 {
		return load, false
	}
	var values [4]int
	for i := range min(len(parts), len(values)) {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 || v > maxLoadValue {
			return load, false
		}
		values[i] = v
	}
	const slowdownScale = 100
	return ServerLoad{Running: values[0], Waiting: values[1], Slots: values[2], Slowdown: float64(values[3]) / slowdownScale}, true
}

// notRun reports whether an answer proves that the request was not run. A server
// answers 421 instead of running a request that is addressed to another server.
func (n HeaderNames) notRun(status int, h http.Header) bool {
	return status == http.StatusMisdirectedRequest || n.NotRun != "" && h.Get(n.NotRun) != ""
}

// unsealed reports whether an answer with a status below 300 lacks the seal.
func (n HeaderNames) unsealed(status int, h http.Header) bool {
	return n.Seal != "" && status < http.StatusMultipleChoices && h.Get(n.Seal) == ""
}

// check returns an error if the head of a request would not be read as it is meant. The
// values come from callers, other nodes, servers and the configuration.
func (n HeaderNames) check(r call.Request) error {
	if !httpguts.ValidHeaderFieldName(r.Method) || r.URI == "" || strings.ContainsFunc(r.URI, isControlOrSpace) {
		return malformed("request line", r.Method+" "+r.URI)
	}
	for _, f := range [...]struct{ name, value string }{{"Host", r.Host}, {n.ID, r.ID}, {n.Target, r.Target}, {n.Origin, r.Origin}} {
		if !httpguts.ValidHeaderFieldValue(f.value) {
			return malformed(f.name, f.value)
		}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("header name", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return malformed(name, v)
			}
		}
	}
	return nil
}

func isControlOrSpace(c rune) bool { return c <= ' ' || c == 0x7f }

func malformed(what, value string) error {
	return fault.New(fault.KindBadRequest, "%s %.80q has characters that cannot be sent", what, value)
}

// appendHead appends the request line and the header to buf.
func (n HeaderNames) appendHead(buf []byte, r call.Request, deadlineMillis int64) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.URI...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = appendField(buf, "Host", r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			buf = appendLine(buf, name, v)
		}
	}
	buf = appendField(buf, n.ID, r.ID)
	buf = appendField(buf, n.Target, r.Target)
	buf = appendField(buf, n.Origin, r.Origin)
	if n.Deadline != "" && deadlineMillis > 0 {
		buf = appendField(buf, n.Deadline, strconv.FormatInt(deadlineMillis, 10))
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buf = appendField(buf, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(buf, "\r\n"...)
}

// appendField appends a header that the node sets itself, unless it has no name or value.
func appendField(buf []byte, name, value string) []byte {
	if name == "" || value == "" {
		return buf
	}
	return appendLine(buf, name, value)
}

func appendLine(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}
