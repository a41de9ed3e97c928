// Package mesh assembles a node that follows a platform: configuration and
// membership come from outside, and requests go from the node where they arrive
// to the node beside the server that runs them.
package mesh

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

// Registry is where the configuration and the entries of nodes last.
type Registry interface {
	// Members returns the entries of all nodes.
	Members(ctx context.Context) ([]Member, error)
	// Publish replaces the entry of this node.
	Publish(ctx context.Context, e roster.Entry) (Written, error)
	// Withdraw removes the entry of a node unless it has changed.
	Withdraw(ctx context.Context, e roster.Entry) error
	// Configuration returns the newest configuration and its raw form.
	Configuration(ctx context.Context) (Versioned, error)
	// Changed returns the next configuration after a position. It waits for one as
	// long as it is told, and returns no document when none came.
	Changed(ctx context.Context, position uint64, wait time.Duration) (Versioned, error)
	// Decode reads the raw form that another node passes on.
	Decode(raw []byte) (*route.Document, error)
}

// Member is an entry of the registry. Positions grow with each write of any entry.
type Member struct {
	roster.Entry
	Position uint64
}

// Written tells where and when an entry was written.
type Written struct {
	// Position is zero where it is not known.
	Position uint64
	// Clock is the registry's steady clock after the write; zero where it is not
	// known.
	Clock time.Duration
}

// Versioned is a configuration as it was read.
type Versioned struct {
	// Document is nil when there is no valid configuration.
	Document *route.Document
	Raw      []byte
	// Position is where to wait for the next change.
	Position uint64
	// Clock is the registry's steady clock at the answer; zero where it is not known.
	Clock time.Duration
}

// Bounds are the limits that the platform sets.
type Bounds struct {
	// Grace is how long a stopping process may take.
	Grace time.Duration
	// RetryRatio, RetrySpan and RetryFixed bound the second sends of all nodes.
	RetryRatio, RetryFixed float64
	RetrySpan              time.Duration
}

// Options are the settings of one node.
type Options struct {
	// Node is unique and stays the same over restarts.
	Node           string
	Region, Domain string
	// Service and Server (IP:port) are those of the backend server beside the node.
	Service, Server string
	// Caller and Peer are the addresses to listen on (IP:port).
	Caller, Peer string
	// Advertised is the address at which other nodes reach Peer; empty where that is
	// Peer itself.
	Advertised string
	// Bodies bounds the bodies of callers' requests that are held at a time, in
	// bytes; zero means no bound.
	Bodies int64
	// Dialect is how callers name what they want.
	Dialect caller.Dialect
	// Fresh is set when the whole system starts for the first time, so that nothing is
	// in the registry from before.
	Fresh bool
	// Names are the headers of backend servers.
	Names    backend.HeaderNames
	Bounds   Bounds
	Registry Registry
	// Costs are those of moving a request; zero means placement.DefaultCosts.
	Costs placement.Costs
	// Log is never nil.
	Log log.Interface
}
