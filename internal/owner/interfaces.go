// Package owner runs requests with an idempotency key at most once. Its
// Controller routes them to the owner of their shard, transfers records from the
// owner to the backup, and repairs the shard maps.
//
// The keys of a service are divided into once.Shards shards. Each shard has a pair
// of processes: the owner runs the requests, and the backup holds a copy of the
// idempotency records. The shard map of a service is a row of the table service.
// A pair changes only through a conditional write of that row, which increments the
// epoch of the shard; claims of an earlier epoch are refused.
//
// Before a request runs, the backup of the shard, if there is one, must accept a
// claim of its key. Afterwards the owner sends the backup a settlement with the
// outcome and, if it is small enough, the answer. A resend of the key within
// once.Window gets that answer.
//
// Every node runs repair rounds, once a second and on demand. A round reads again
// the shard maps that were last read too long ago, replaces lost members of pairs,
// and transfers all records of a shard to its new backup.
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

// Table stores the shard maps as rows of the table service.
type Table interface {
	// Get returns a row and its ETag. The ETag is empty if the row does not exist.
	Get(ctx context.Context, key string) (value []byte, etag string, err error)
	// Create writes a row that does not exist yet. It returns an error of
	// fault.KindConflict if the row exists. After any other error, the write may
	// have taken effect.
	Create(ctx context.Context, key string, value []byte) (etag string, err error)
	// CompareAndSwap replaces a row if it still has the ETag, and returns the new
	// ETag. It returns an error of fault.KindConflict if the row has another ETag.
	// After any other error, the write may have taken effect.
	CompareAndSwap(ctx context.Context, key, etag string, value []byte) (newETag string, err error)
}

// Members is this node's view of the membership.
type Members interface {
	once.View
	// Peer returns the node on which a process runs, or false if its address is not
	// known.
	Peer(r once.Ref) (node.Peer, bool)
}
