// Package store sends requests to the platform's storage services over HTTP/1.1: the
// table service, the object store and the store that package platform uses. Its
// errors state whether a failed write may have taken effect.
package store

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"path"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	// DefaultTimeout bounds one request when Endpoint.Timeout is zero.
	DefaultTimeout = 2 * time.Second
	// maxReply limits the memory for one reply, in bytes.
	maxReply = 64 << 20
	// minRate is the slowest transfer of a reply that is awaited, in bytes per second: a
	// fifth of a link of 10 Mbit/s.
	minRate = 256 << 10
	// MaxHeader is the size limit of a reply's header in bytes, for http.Transport.
	MaxHeader = 64 << 10
)

// defaultClient follows no redirects and uses no proxy: the endpoint is an IP
// address from the settings.
var defaultClient = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: MaxHeader,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Endpoint is the address of a storage service. The clients of these services embed
// it.
type Endpoint struct {
	// Base is the URL without the path, such as http://10.0.0.9:8080.
	Base string
	// HTTP is the client to use; nil means a client shared by the process.
	HTTP *http.Client
	// Timeout bounds one request until the first byte of the reply's body; zero means
	// DefaultTimeout. The body then takes at most the time of minRate longer.
	Timeout time.Duration
}

// Request is one request to a storage service.
type Request struct {
	Method string
	Path   string // unescaped
	Query  url.Values
	Header http.Header
	Body   []byte
}

// Reply is a reply with a 2xx status.
type Reply struct {
	Header http.Header
	Body   []byte
	// Transfer is how long it took to read Body.
	Transfer time.Duration
}

// CheckKey returns an error for keys that would be changed in a URL path.
func CheckKey(key string) error {
	if key == "" || path.Clean("/"+key) != "/"+key {
		return fault.New(fault.KindBadRequest, "store key %q is empty or not a clean path", key)
	}
	return nil
}

// Do sends the request once, without retries. Its errors are of kind not-found,
// expired, conflict, store-down (nothing was changed) or write-unknown (a write may
// have taken effect, or may still take effect later).
func (e Endpoint) Do(ctx context.Context, r Request) (Reply, error) {
	timeout := e.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	ctx, limit := newLimit(ctx, timeout)
	defer limit.end()
	// A request for which there was no connection cannot have taken effect.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := e.newRequest(ctx, r)
	if err != nil {
		return Reply{}, err
	}
	client := e.HTTP
	if client == nil {
		client = defaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			// If the server no longer responds, each idle connection to it would lead to
			// another time-out.
			client.CloseIdleConnections()
		}
		return Reply{}, noReplyError(r, sent.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := cmp.Or(call.CheckStatus(resp.StatusCode), call.CheckNames(resp.Header)); err != nil {
		return Reply{}, noReplyError(r, true, err)
	}
	start := time.Now()
	body, err := io.ReadAll(io.LimitReader(limit.reader(resp.Body), maxReply+1))
	if err == nil && len(body) > maxReply {
		err = eris.Errorf("reply is longer than %d bytes", maxReply)
	}
	reply, failure := classify(r, resp, body, err)
	reply.Transfer = time.Since(start)
	return reply, failure
}

func (e Endpoint) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	u, err := url.Parse(e.Base)
	if err != nil || u.Host == "" {
		return nil, fault.New(fault.KindBadRequest, "store address %q is not a URL", e.Base).
			WithRemedy("set it as http://IP:PORT")
	}
	u.Path, u.RawQuery = u.Path+r.Path, r.Query.Encode()
	req, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, fault.New(fault.KindBadRequest, "request to the store: %v", err)
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	return req, nil
}

func classify(r Request, resp *http.Response, body []byte, readErr error) (Reply, error) {
	switch code := resp.StatusCode; {
	case code >= 200 && code < 300:
		// For a write, the status is sufficient, even if the body was cut short.
		if readErr != nil && !r.isWrite() {
			return Reply{}, noReplyError(r, true, readErr)
		}
		return Reply{Header: resp.Header, Body: body}, nil
	case code == http.StatusNotFound:
		return Reply{}, fault.New(fault.KindNotFound, "%s %s: no such row or object", r.Method, r.Path)
	case code == http.StatusGone:
		return Reply{}, fault.New(fault.KindExpired, "%s %s: the history has been discarded", r.Method, r.Path)
	case code == http.StatusPreconditionFailed:
		return Reply{}, fault.New(fault.KindConflict, "%s %s: changed by another writer", r.Method, r.Path).
			WithRemedy("read it again before the next write")
	case code == http.StatusTooManyRequests, code == http.StatusServiceUnavailable:
		return Reply{}, unavailableError(r, "status %d", code).WithWait(retryAfter(resp))
	case code >= 500:
		return Reply{}, noReplyError(r, true, eris.Errorf("status %d", code))
	default:
		return Reply{}, fault.New(fault.KindInternal, "%s %s: unexpected status %d", r.Method, r.Path, code).
			WithRemedy("check the store's address in the settings")
	}
}

func (r Request) isWrite() bool { return r.Method != http.MethodGet && r.Method != http.MethodHead }

// noReplyError returns the typed error for a request without a usable reply.
func noReplyError(r Request, sent bool, err error) error {
	if r.isWrite() && sent {
		return fault.New(fault.KindWriteUnknown, "%s %s: %v", r.Method, r.Path, err)
	}
	return unavailableError(r, "%v", err)
}

func unavailableError(r Request, format string, args ...any) *fault.Error {
	args = append([]any{r.Method, r.Path}, args...)
	return fault.New(fault.KindStoreDown, "%s %s: "+format, args...)
}

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 1 {
		s = 1
	}
	return time.Duration(s) * time.Second
}
