// Package call defines the request and the answer that are passed between
// callers, nodes and backend servers.
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
	HeaderTimeout   = "Request-Timeout" // in milliseconds
	HeaderHop       = "Request-Hop"
	HeaderParent    = "Request-Parent"
	HeaderAllowance = "Retry-Allowance"
	HeaderKey       = "Idempotency-Key"
	HeaderReplayed  = "Idempotency-Replayed"
	HeaderOutcome   = "Outcome"
)

func init() { wire.BoundHeaders() }

// MaxHops is the maximum length of a chain of calls. Chains have up to 10 calls,
// so a longer one is a loop.
const MaxHops = 16

// Request is a request as sent between nodes. It is immutable; the With methods
// return changed copies that share the header and the body.
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
	// Epoch is the shard's epoch as known to the entry node. It is set only when the
	// entry node forwards a keyed request to the owner of its shard.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Idempotent is determined once, by the entry node, from the method and the
	// configured rules.
	Idempotent bool `msgpack:"d"`
	// Hop is the number of calls above this one in its chain, 0 for the first call. It
	// has nothing to do with hop-by-hop headers.
	Hop int `msgpack:"p"`
	// From is the ID of the node that sent the request, or empty for a caller.
	From string `msgpack:"-"`
	// Parent is the ID of the request for which the local backend server made
	// this call, or empty. It is not sent to other nodes.
	Parent string `msgpack:"-"`
	// Allowance is the number of retries that remain for the whole chain of calls.
	Allowance int `msgpack:"a"`
	// Deadline has a monotonic clock reading of this process, so it is sent to other
	// nodes as Timeout.
	Deadline time.Time `msgpack:"-"`
	// Arrived is when the entry node had read the request. It is not sent to other
	// nodes.
	Arrived time.Time `msgpack:"-"`
	// Host is the authority in the caller's request.
	Host string `msgpack:"w,omitempty"`
	// Origin is the service on the host of the entry node. The entry node is the node
	// to which the caller sent the request.
	Origin string `msgpack:"o,omitempty"`
	// Target is the ID of the backend server that the entry node has chosen.
	Target string `msgpack:"g,omitempty"`
	// Route is the name of the configured route. Requests of one route have similar
	// durations.
	Route string `msgpack:"r,omitempty"`
	// Priority is 0 for the most urgent requests.
	Priority int `msgpack:"q,omitempty"`
	// Objective is the time after which the answer loses most of its value; zero
	// means never. It is sent to other nodes as ObjectiveTimeout.
	Objective time.Time `msgpack:"-"`
	// ObjectiveTimeout is the time left until Objective. It is set only in messages.
	ObjectiveTimeout time.Duration `msgpack:"b,omitempty"`
	// Last is set when the sending node will try no other server.
	Last bool `msgpack:"z,omitempty"`
	// Timeout is the time left until Deadline. It is set only in messages.
	Timeout time.Duration `msgpack:"l"`
	Body    []byte        `msgpack:"-"`
}

// WithDeadline returns a copy with another deadline.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// AsCall returns a copy for a call of the local backend server. A call has no objective
// of its own: the request that waits for it needs the answer before its deadline.
func (r Request) AsCall(priority int) Request {
	r.Priority, r.Objective = priority, time.Time{}
	return r
}

// WithAllowance returns a copy with another number of retries left.
func (r Request) WithAllowance(n int) Request {
	r.Allowance = n
	return r
}

// WithEpoch returns a copy for the owner of the key's shard in the given epoch;
// zero addresses it to a backend server.
func (r Request) WithEpoch(epoch uint64) Request {
	r.Epoch = epoch
	return r
}

// WithTarget returns a copy that is addressed to one backend server.
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

// Keyed reports whether the request must run at most once, which is ensured by
// the owner of its idempotency key.
func (r Request) Keyed() bool { return r.Key != "" && !r.Idempotent }

// Fingerprint returns a hash of the request's service, method, URI, body and caller. A
// request that comes again has the same ones, and one of another caller is another request:
// it may be answered where this one crashes the server.
func (r Request) Fingerprint() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{r.Service, r.Method, r.URI, r.Origin, r.Tenant} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}
