package call

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that crashes servers and gets another fingerprint when it comes
// again, and against one that shares its fingerprint with requests of other callers.
func TestFingerprint(t *testing.T) {
	base := Request{
		ID: "1", Service: "stock", Method: http.MethodPost, URI: "/a?b", Origin: "dock", Tenant: "first", Body: []byte("x"),
	}
	for name, c := range map[string]struct {
		change func(r *Request)
		same   bool
	}{
		"next attempt":   {func(r *Request) { r.ID, r.Deadline = "2", time.Now() }, true},
		"other node":     {func(r *Request) { r.From, r.Target, r.Last = "n1", "i1", true }, true},
		"other host":     {func(r *Request) { r.Host = "b.example" }, true},
		"other headers":  {func(r *Request) { r.Header = http.Header{"Accept": {"*/*"}} }, true},
		"other method":   {func(r *Request) { r.Method = http.MethodPut }, false},
		"other path":     {func(r *Request) { r.URI = "/b?b" }, false},
		"other query":    {func(r *Request) { r.URI = "/a?c" }, false},
		"other body":     {func(r *Request) { r.Body = []byte("y") }, false},
		"other service":  {func(r *Request) { r.Service = "shop" }, false},
		"other origin":   {func(r *Request) { r.Origin = "stock" }, false},
		"other tenant":   {func(r *Request) { r.Tenant = "second" }, false},
		"shifted fields": {func(r *Request) { r.Origin, r.Tenant = "", "dockfirst" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := base
			c.change(&r)
			assert.Equal(t, r.Fingerprint() == base.Fingerprint(), c.same)
		})
	}
}
