// Package mesh assembles a node that runs on a platform: the configuration and the
// list of nodes come from the platform's registry, and requests are forwarded from the
// node that receives them to the node beside the server that runs them. Package daemon
// assembles the other kind of node: it learns of the other nodes by gossip, keeps the
// configuration in the table service, and serves operators on a separate address.
package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

// Registry stores the configuration and the entries of nodes.
type Registry interface {
	// Members returns the entries of all nodes.
	Members(ctx context.Context) ([]Member, error)
	// Entry returns the entry of a node, or the zero Member if there is none.
	Entry(ctx context.Context, node string) (Member, error)
	// Publish replaces the entry of this node that was read or written at a position,
	// zero for none. It fails with fault.KindConflict if that is no longer the newest.
	Publish(ctx context.Context, e roster.Entry, position uint64) (WriteResult, error)
	// Withdraw removes the entry of a node unless it has changed.
	Withdraw(ctx context.Context, e roster.Entry) error
	// SaveCrash saves a crash of the server beside a node, so that it outlasts a restart of
	// all nodes of the service. The number that is kept of each node is bounded.
	SaveCrash(ctx context.Context, service, node string, i quarantine.Incident) error
	// Crashes returns the saved crashes of a service with their ages.
	Crashes(ctx context.Context, service string) ([]quarantine.Incident, error)
	// Configuration returns the newest configuration and its raw form.
	Configuration(ctx context.Context) (Snapshot, error)
	// AwaitChange returns the next configuration after a position. It waits at most
	// the given time, and returns no document if there was no change.
	AwaitChange(ctx context.Context, position uint64, wait time.Duration) (Snapshot, error)
	// Decode decodes the raw form that another node relays.
	Decode(raw []byte) (*route.Document, error)
}

// Member is an entry of the registry. Positions grow with each write of any entry.
type Member struct {
	roster.Entry
	Position uint64
}

// WriteResult is the position and time of a write of an entry.
type WriteResult struct {
	// Position is zero where it is not known.
	Position uint64
	// Clock is the registry's monotonic clock after the write; zero where it is not
	// known.
	Clock time.Duration
}

// Snapshot is a configuration as it was read from the registry or a node.
type Snapshot struct {
	// Document is nil when there is no valid configuration.
	Document *route.Document
	Raw      []byte
	// Transferred is the number of bytes that were read.
	Transferred int
	// Fetch is how long it took to read them, without the wait for the first one, and
	// Decode how long to decode them.
	Fetch, Decode time.Duration
	// Position is the position from which to wait for the next change.
	Position uint64
	// Clock is the registry's monotonic clock at the answer; zero where it is not
	// known.
	Clock time.Duration
}

// Bounds are the limits that the platform sets.
type Bounds struct {
	// Grace is how long a stopping process may take.
	Grace time.Duration
	// RetryRatio, RetrySpan and RetryFixed limit the resends of all nodes together.
	RetryRatio, RetryFixed float64
	RetrySpan              time.Duration
	// Apply is how long after it was accepted a configuration must be in force; zero means
	// no bound.
	Apply time.Duration
}

// Options are the settings of one node.
type Options struct {
	// Node is the unique name of the node, which stays the same over restarts.
	Node           string
	Region, Domain string
	// Service and Server are the service and the address (IP:port) of the backend
	// server beside the node at the start. SetBackend changes both.
	Service, Server string
	// Caller and Peer are the addresses to listen on (IP:port).
	Caller, Peer string
	// Advertise is the peer address that other nodes use; empty means Peer.
	Advertise string
	// MaxBodies bounds the bodies of callers' requests that the node holds at a time,
	// in bytes; zero means no bound.
	MaxBodies int64
	// LinkRate is the rate of the host's network link in bits per second; zero means
	// that it is not known.
	LinkRate float64
	// Cores is the processor time that the node gets, in cores; zero means that it is not
	// known.
	Cores float64
	// Dialect is the set of headers that callers use.
	Dialect caller.Dialect
	// Fresh is set when the whole system starts for the first time, so that the
	// registry has no entries of earlier processes.
	Fresh bool
	// HeaderNames are the names of the headers of backend servers.
	HeaderNames backend.HeaderNames
	Bounds      Bounds
	Registry    Registry
	// Costs are the costs of moving a request; zero means placement.DefaultCosts.
	Costs placement.Costs
	// Log is never nil.
	Log log.Interface
	// current is the backend server since the last SetBackend; nil before the start of a node.
	current *atomic.Pointer[Backend]
}

// Backend is what the settings of a host say of the backend server on it. It is immutable.
type Backend struct {
	Service string
	// Addr is IP:port.
	Addr string
}

// backend returns the backend server by the settings in force. It is the only source of
// its service and its address once a node runs.
func (o *Options) backend() Backend {
	if o.current != nil {
		if b := o.current.Load(); b != nil {
			return *b
		}
	}
	return Backend{Service: o.Service, Addr: o.Server}
}
