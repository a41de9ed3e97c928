package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Paths and headers of the HTTP API.
const (
	PathCommand = "/v1/command"
	PathVersion = "/v1/version"
	// HeaderID and HeaderBase make retries of a change idempotent.
	HeaderID   = "Change-Id"
	HeaderBase = "Change-Base"

	maxCommand  = 64 << 10
	typeProblem = "application/problem+json"
)

// Handler serves the command language over HTTP. It must listen on a separate
// address that callers cannot reach.
type Handler struct {
	Console *Console
	// Keys returns the trusted keys. It is called for each request, because the
	// keys may change while the node runs.
	Keys func() Keys
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	identity, err := h.identify(r)
	if err != nil {
		e := *fault.As(err)
		e.Status = http.StatusUnauthorized
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeProblem(w, &e)
		return
	}
	switch {
	case r.URL.Path == PathVersion && r.Method == http.MethodGet:
		w.Header().Set("Content-Type", typeText)
		_, _ = io.WriteString(w, itoa(h.Console.Config.Current().Version)+"\n")
	case r.URL.Path == PathCommand && r.Method == http.MethodPost:
		h.command(w, r, identity)
	default:
		writeProblem(w, fault.New(fault.KindNotFound, "there is no endpoint %s %s", r.Method, r.URL.Path).WithRemedy("POST a command to "+PathCommand))
	}
}

func (h *Handler) identify(r *http.Request) (Identity, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return Identity{}, fault.New(fault.KindForbidden, "no token").WithRemedy("send Authorization: Bearer TOKEN")
	}
	return h.Keys().Verify(token, h.Console.now())
}

func (h *Handler) command(w http.ResponseWriter, r *http.Request, identity Identity) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommand+config.MaxBody))
	text := strings.TrimSpace(string(body))
	if line, _ := cutDocument(text); err == nil && len(line) > maxCommand {
		err = fmt.Errorf("%d bytes are over the limit of %d", len(line), maxCommand)
	}
	if err != nil {
		writeProblem(w, fault.New(fault.KindTooLarge, "command: %v", err).WithRemedy("split it into several commands"))
		return
	}
	req := Request{Text: text, ID: r.Header.Get(HeaderID)}
	if base := r.Header.Get(HeaderBase); base != "" {
		n, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			writeProblem(w, fault.New(fault.KindBadRequest, "%s %q is not a version", HeaderBase, base))
			return
		}
		v := config.Version(n)
		req.Base = &v
	}
	result, err := h.Console.Run(r.Context(), identity, req)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeResult(w, result, strings.Contains(r.Header.Get("Accept"), typeJSON))
}

func writeResult(w http.ResponseWriter, result Result, asJSON bool) {
	body, contentType := []byte(result.Text()), typeText
	if result.Raw != nil {
		contentType = result.RawType
	}
	if asJSON {
		var err error
		if body, err = result.JSON(); err != nil {
			writeProblem(w, err)
			return
		}
		contentType = typeJSON
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

// problem is the body of an error response (RFC 9457, problem details).
type problem struct {
	Type   string     `json:"type"`
	Title  fault.Kind `json:"title"`
	Status int        `json:"status"`
	Detail string     `json:"detail"`
	Remedy string     `json:"remedy"`
}

const problemPrefix = "urn:vanillasail:problem:"

func writeProblem(w http.ResponseWriter, err error) {
	e := fault.As(err)
	w.Header().Set("Content-Type", typeProblem)
	if e.Wait > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(e.Wait.Seconds()+0.999)))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(problem{
		Type: problemPrefix + string(e.Kind), Title: e.Kind, Status: e.Status, Detail: e.Detail, Remedy: e.Remedy,
	})
}
