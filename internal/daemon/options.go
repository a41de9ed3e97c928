package daemon

import (
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/node"
)

// Options are the settings of one node.
type Options struct {
	// ID is unique in the cluster and stays the same when the host is replaced.
	ID     string
	Region string
	Domain string
	// Caller, Peer and Announce are the addresses to listen on (IP:port).
	Caller, Peer, Announce string
	// Advertise is the peer address that other nodes use; empty means Peer.
	Advertise string
	// Seeds are peer addresses of other nodes to join through.
	Seeds []string
	// Credentials are never nil.
	Credentials *node.Credentials
	// MaxBody bounds a request body in bytes; zero means 8 MB.
	MaxBody int
	// Notice is how long a stopping node goes on accepting requests.
	Notice time.Duration
	// Log is never nil.
	Log log.Interface
}

const (
	defaultMaxBody = 8 << 20
	defaultNotice  = 2 * time.Second
	// usualTimeout and longestTimeout bound a request that names no or a longer
	// Request-Timeout.
	usualTimeout   = 10 * time.Second
	longestTimeout = 30 * time.Second
	tickInterval   = 20 * time.Millisecond
)

// common is embedded by the parts of a node.
type common struct {
	*Options
}

func (o Options) withDefaults() Options {
	if o.MaxBody == 0 {
		o.MaxBody = defaultMaxBody
	}
	if o.Notice == 0 {
		o.Notice = defaultNotice
	}
	return o
}
