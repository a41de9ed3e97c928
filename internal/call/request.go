// Package call models one request and its answer on the way between caller,
// nodes and backend server.
package call

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Header names that callers and backend servers see.
const (
	HeaderService   = "Service"
	HeaderTenant    = "Tenant"
	HeaderClass     = "Class"
	HeaderID        = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // milliseconds left
	HeaderHop       = "Request-Hop"
	HeaderParent    = "Request-Parent"
	HeaderAllowance = "Retry-Allowance"
	HeaderKey       = "Idempotency-Key"
	HeaderReplayed  = "Idempotency-Replayed"
	HeaderOutcome   = "Outcome"
)

func init() { wire.BoundHeaders() }

// MaxHops bounds a chain of calls; calls are up to 10 deep, so a longer chain
// is a loop.
const MaxHops = 16

// Request is one request as it travels between nodes. It is immutable; With
// methods return changed copies that share header and body.
type Request struct {
	ID      string      `msgpack:"i"`
	Service string      `msgpack:"s"`
	Method  string      `msgpack:"m"`
	URI     string      `msgpack:"u"` // path and query as the backend server sees them
	Header  http.Header `msgpack:"h"`
	Tenant  string      `msgpack:"t"`
	Class   string      `msgpack:"c"`
	// Key is the caller's Idempotency-Key, or empty.
	Key string `msgpack:"k,omitempty"`
	// Epoch is set only while an entry node forwards a keyed request to the
	// owner of its shard; it is the epoch of the shard that the entry node knows.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Idempotent is decided once, by the first node, from method and rules.
	Idempotent bool `msgpack:"d"`
	Hop        int  `msgpack:"p"`
	// From is the ID of the node that sent the request, or empty for a caller.
	From string `msgpack:"-"`
	// Parent is the ID of the request for which the local backend server made
	// this call, or empty. It does not travel between nodes.
	Parent string `msgpack:"-"`
	// Allowance is the number of retries that remain for the whole chain.
	Allowance int `msgpack:"a"`
	// Deadline is a monotonic instant of this process; it travels as Timeout.
	Deadline time.Time `msgpack:"-"`
	// Host is the authority that the caller named.
	Host string `msgpack:"w,omitempty"`
	// Origin is the service of the host where the request began.
	Origin string `msgpack:"o,omitempty"`
	// Target is the backend server that the placing node means.
	Target string `msgpack:"g,omitempty"`
	// Route names the configured route; requests of a route are alike.
	Route string `msgpack:"r,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int `msgpack:"q,omitempty"`
	// Objective is when the answer loses most of its worth; zero means never. It
	// travels as Aim.
	Objective time.Time `msgpack:"-"`
	// ObjectiveTimeout is only set on the wire.
	ObjectiveTimeout time.Duration `msgpack:"b,omitempty"`
	// Last is set when no other server will be asked.
	Last bool `msgpack:"z,omitempty"`
	// Timeout is only set on the wire.
	Timeout time.Duration `msgpack:"l"`
	Body    []byte        `msgpack:"-"`
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// WithAllowance returns a copy with another number of retries left.
func (r Request) WithAllowance(n int) Request {
	r.Allowance = n
	return r
}

// WithEpoch returns a copy that is addressed to the owner of its key in an
// epoch of the shard; zero addresses it to a backend server.
func (r Request) WithEpoch(epoch uint64) Request {
	r.Epoch = epoch
	return r
}

// WithTarget returns a copy that is meant for one backend server.
func (r Request) WithTarget(server string, last bool) Request {
	r.Target, r.Last = server, last
	return r
}

// Due returns the objective, or the deadline where there is no objective.
func (r Request) Due() time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// Keyed reports whether the request takes the at-most-once path.
func (r Request) Keyed() bool { return r.Key != "" && !r.Idempotent }

// Fingerprint identifies the content of the request: service, method, URI and
// body.
func (r Request) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{r.Service, r.Method, r.URI} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
