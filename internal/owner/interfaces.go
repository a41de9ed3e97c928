// Package owner speaks to the owner and the backup of a shard of keys. Its
// Controller runs keyed requests at most once.
package owner

import (
	"context"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// Network reaches other nodes; *node.Transport implements it.
type Network interface {
	// Control sends a control message and returns its reply.
	Control(ctx context.Context, peer node.Peer, kind string, body []byte) ([]byte, error)
	// Call forwards a request. Its error is a refusal only when the request
	// did not run and will not run.
	Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error)
}

// Table holds the rows with the shard maps.
type Table interface {
	// Get returns a row and its ETag; an empty ETag means that there is none.
	Get(ctx context.Context, key string) (value []byte, etag string, err error)
	// Create writes a row that does not exist yet. Its error is
	// fault.KindConflict when the row exists; after any other error the write
	// may have taken effect.
	Create(ctx context.Context, key string, value []byte) (etag string, err error)
	// CompareAndSwap replaces a row that still has the ETag. Its errors are
	// those of Create.
	CompareAndSwap(ctx context.Context, key, etag string, value []byte) (next string, err error)
}

// Members is the node's knowledge of the members.
type Members interface {
	once.View
	// Peer returns where a process can be called; false when it is not known.
	Peer(r once.Ref) (node.Peer, bool)
}
