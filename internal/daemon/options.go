package daemon

import (
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/budget"
)

// Options are the settings of one node.
type Options struct {
	// ID is unique in the cluster and stays the same when the host is replaced.
	ID     string
	Region string
	Domain string
	// Caller, Peer, Announce and Operator are the addresses to listen on
	// (IP:port).
	Caller, Peer, Announce, Operator string
	// TokenSecret verifies operators' tokens; empty refuses every operator.
	TokenSecret string
	// Advertise is the peer address that other nodes use; empty means Peer.
	Advertise string
	// Secret encrypts membership datagrams; all nodes share it.
	Secret string
	// Table and Object are the URLs of the platform's table service and object store.
	Table, Object string
	// StoreTimeout bounds one request to either of them.
	StoreTimeout time.Duration
	// First starts a cluster without waiting for the table service or another node.
	First bool
	// Seeds are peer addresses of other nodes to join through.
	Seeds []string
	// Credentials are never nil.
	Credentials *node.Credentials
	// ServerBudget and LinkBudget limit measuring until a configuration names
	// budgets; nil means the defaults of package budget.
	ServerBudget, LinkBudget *budget.Rate
	// MaxBody bounds a request body in bytes; zero means 8 MB.
	MaxBody int
	// MaxBodies bounds the bodies of all requests that the node holds, in bytes;
	// zero means 256 MB.
	MaxBodies int
	// Notice is how long a stopping node goes on accepting requests, so that callers
	// can move to other nodes.
	Notice time.Duration
	// Growth is the smallest growth of the heap between two garbage collections, in
	// percent; zero leaves the settings of the Go runtime unchanged.
	Growth int
	// Log is never nil.
	Log log.Interface
}

const (
	defaultMaxBody = 8 << 20
	// defaultMaxBodies allows 32 bodies of the largest size, more than the slots of a
	// server.
	defaultMaxBodies = 256 << 20
	defaultNotice    = 2 * time.Second
	tickInterval     = 20 * time.Millisecond
	// syncInterval is how often work that may block is done, such as requests to the
	// table service or to other nodes.
	syncInterval = 100 * time.Millisecond
)

// common is embedded by the parts of a node.
type common struct {
	*Options
}

func (o *Options) tableClient() table.Client {
	return table.Client{Endpoint: store.Endpoint{Base: o.Table, Timeout: o.StoreTimeout}}
}

func (o Options) withDefaults() Options {
	if o.ServerBudget == nil {
		o.ServerBudget = &budget.DefaultServer
	}
	if o.LinkBudget == nil {
		o.LinkBudget = &budget.DefaultLink
	}
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.MaxBodies == 0 {
		o.MaxBodies = defaultMaxBodies
	}
	if o.Notice == 0 {
		o.Notice = defaultNotice
	}
	return o
}
