// Package owner runs requests with an idempotency key at most once. Its
// Controller routes them to the owner of their shard, replicates records between
// owner and backup, and repairs the shard maps.
package owner

import (
	"context"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// Network sends messages to other nodes; *node.Transport implements it.
type Network interface {
	// Control sends a control message and returns its reply.
	Control(ctx context.Context, peer node.Peer, kind string, body []byte) ([]byte, error)
	// Call forwards a request. Its error has the outcome fault.Refused only if
	// the request did not run and will not run.
	Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error)
}

// Table stores the rows with the shard maps.
type Table interface {
	// Get returns a row and its ETag. The ETag is empty if the row does not exist.
	Get(ctx context.Context, key string) (value []byte, etag string, err error)
	// Create writes a row that does not exist yet. It returns
	// fault.KindConflict if the row exists. After any other error, the write may
	// have taken effect.
	Create(ctx context.Context, key string, value []byte) (etag string, err error)
	// CompareAndSwap replaces a row if it still has the ETag. It returns the
	// same kinds of errors as Create.
	CompareAndSwap(ctx context.Context, key, etag string, value []byte) (next string, err error)
}

// Members is this node's view of the membership.
type Members interface {
	once.View
	// Peer returns the address of a process, or false if it is not known.
	Peer(r once.Ref) (node.Peer, bool)
}
