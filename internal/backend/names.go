package backend

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/vanillasail/vanillasail/internal/call"
)

// HeaderNames are the headers that a kind of backend server understands. An empty
// name is neither sent nor read.
type HeaderNames struct {
	// ID carries the request's ID in both directions.
	ID string
	// Deadline carries the milliseconds that are left.
	Deadline string
	// Target names the server for which the request is meant; another one that
	// has taken over the address does not run it.
	Target string
	// Origin names the service of the host where the request began.
	Origin string
	// NotRun marks an answer to a request that was not run.
	NotRun string
	// Seal is the server's signature on its answer.
	Seal string
	// Load lists running and waiting requests, slots and pace.
	Load string
	// Instance names the server that answers a probe.
	Instance string
}

// Reserved returns the names that the system sets itself, whatever the caller sent.
func (n HeaderNames) Reserved() []string { return []string{n.ID, n.Deadline, n.Target, n.Origin} }

// ServerLoad is what a server tells of itself on an answer.
type ServerLoad struct {
	Running, Waiting, Slots int
	// Slowdown is 1 as usual, greater when the server's host is slow, and 0 when the
	// server does not tell it.
	Slowdown float64
}

// maxFigure bounds each figure of a load that is to be believed.
const maxFigure = 1 << 16

// loadOf reads the load header; ok is false when it is missing or malformed.
func (n HeaderNames) loadOf(h http.Header) (load ServerLoad, ok bool) {
	if n.Load == "" {
		return load, false
	}
	parts := strings.Split(h.Get(n.Load), ",")
	if len(parts) < 3 {
		return load, false
	}
	var figures [4]int
	for i := range min(len(parts), len(figures)) {
		v, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || v < 0 || v > maxFigure {
			return load, false
		}
		figures[i] = v
	}
	const usualPace = 100
	return ServerLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowdown: float64(figures[3]) / usualPace}, true
}

// notRun reports whether an answer proves that the request was not run.
func (n HeaderNames) notRun(status int, h http.Header) bool {
	return status == http.StatusMisdirectedRequest || n.NotRun != "" && h.Get(n.NotRun) != ""
}

// unsealed reports whether a success lacks the server's signature.
func (n HeaderNames) unsealed(status int, h http.Header) bool {
	return n.Seal != "" && status < http.StatusMultipleChoices && h.Get(n.Seal) == ""
}

// head writes the request line and header.
func (n HeaderNames) head(buf []byte, r call.Request, deadlineMillis int64) []byte {
	buf = append(buf, r.Method...)
	buf = append(buf, ' ')
	buf = append(buf, r.URI...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	buf = field(buf, "Host", r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			buf = field(buf, name, v)
		}
	}
	buf = field(buf, n.ID, r.ID)
	buf = field(buf, n.Target, r.Target)
	buf = field(buf, n.Origin, r.Origin)
	if n.Deadline != "" && deadlineMillis > 0 {
		buf = field(buf, n.Deadline, strconv.FormatInt(deadlineMillis, 10))
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		buf = field(buf, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(buf, "\r\n"...)
}

func field(buf []byte, name, value string) []byte {
	if name == "" || value == "" {
		return buf
	}
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}
