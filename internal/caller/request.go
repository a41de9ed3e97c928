package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// maxKeyLength is the maximum length of an idempotency key or a request ID.
	maxKeyLength   = 200
	maxLabelLength = 64
)

// idempotentMethods are idempotent by RFC 9110, 9.2.2.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true, http.MethodTrace: true,
}

// Rules provides the settings of services that the conversion of requests needs.
type Rules interface {
	// Idempotent reports whether a request is idempotent; known is false if no rule
	// applies to it.
	Idempotent(service, method, path string) (idempotent, known bool)
	// Timeout returns the default and the maximum time-out of a request, which the
	// configuration calls timeout and longest.
	Timeout(service string) (defaultTimeout, maxTimeout time.Duration)
}

// parse converts an HTTP request to a call.Request. It clones the header, because r
// is reused after the answer.
func parse(r *http.Request, body []byte, rules Rules, now time.Time) (call.Request, error) {
	header := r.Header.Clone()
	if keys := header.Values(call.HeaderKey); len(keys) > 1 {
		return call.Request{}, fault.New(fault.KindBadRequest, "%d lines of %s; send one", len(keys), call.HeaderKey)
	}
	out := call.Request{
		ID:     header.Get(call.HeaderID),
		Method: r.Method,
		URI:    r.URL.RequestURI(),
		Tenant: label(header.Get(call.HeaderTenant), "default"),
		Class:  label(header.Get(call.HeaderClass), "default"),
		Key:    header.Get(call.HeaderKey),
		Parent: header.Get(call.HeaderParent),
		Body:   body,
	}
	if out.ID == "" {
		out.ID = newID()
	}
	out.Service = serviceOf(r)
	if out.Service == "" {
		return out, fault.New(fault.KindUnknownService, "the request names no service").
			WithRemedy("send /SERVICE/... or the Service header")
	}
	if len(out.Key) > maxKeyLength || len(out.ID) > maxKeyLength {
		return out, fault.New(fault.KindBadRequest, "%s and %s may have %d bytes", call.HeaderKey, call.HeaderID, maxKeyLength)
	}
	out.Idempotent = idempotent(r, out.Service, rules)
	if err := parseCallChain(&out, header, rules, now); err != nil {
		return out, err
	}
	call.RemoveHopHeaders(header)
	for _, name := range []string{"Content-Length", "Host", call.HeaderKey, call.HeaderTimeout, call.HeaderHop, call.HeaderAllowance, call.HeaderID, call.HeaderParent} {
		header.Del(name)
	}
	out.Header = header
	return out, nil
}

func serviceOf(r *http.Request) string {
	if service := r.Header.Get(call.HeaderService); service != "" {
		return service
	}
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return service
}

func idempotent(r *http.Request, service string, rules Rules) bool {
	if idempotent, known := rules.Idempotent(service, r.Method, r.URL.Path); known {
		return idempotent
	}
	return idempotentMethods[r.Method]
}

// parseCallChain sets the deadline, the hop and the parent of a request from the
// headers that are passed down a chain of calls.
func parseCallChain(out *call.Request, header http.Header, rules Rules, now time.Time) error {
	defaultTimeout, maxTimeout := rules.Timeout(out.Service)
	ms, err := parseNumber(header, call.HeaderTimeout, defaultTimeout.Milliseconds())
	if err != nil {
		return err
	}
	out.Deadline = now.Add(min(time.Duration(ms)*time.Millisecond, maxTimeout))
	hop, err := parseNumber(header, call.HeaderHop, 0)
	if err != nil {
		return err
	}
	if hop >= call.MaxHops {
		return fault.New(fault.KindBadRequest, "the chain of calls is %d deep, the limit is %d", hop, call.MaxHops).
			WithRemedy("remove the loop between services")
	}
	out.Hop = int(hop)
	if out.Parent == "" {
		// A backend server that does not set the header Request-Parent forwards the ID
		// of its own request in Request-Id, so the ID is that of the parent.
		out.Parent = out.ID
	}
	return nil
}

func parseNumber(header http.Header, name string, fallback int64) (int64, error) {
	text := header.Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 32)
	if err != nil || n < 0 {
		return 0, fault.New(fault.KindBadRequest, "header %s: %q is not a whole number of at least 0", name, text)
	}
	return n, nil
}

// label returns the value, truncated to maxLabelLength bytes, or the fallback if it
// is empty.
func label(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value[:min(len(value), maxLabelLength)]
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
