package owner

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/once"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Kinds of control messages.
const (
	// KindClaim sends a claim to the backup before the request runs.
	KindClaim = "once/claim"
	// KindSettle sends the outcome of an attempt.
	KindSettle = "once/settle"
	// KindTransfer sends a chunk of records to a new backup.
	KindTransfer = "once/transfer"
	// KindHandOver sends the new epoch of a shard whose owner has handed it over.
	// Claims of that owner are treated as running for a grace period.
	KindHandOver = "once/handover"
	// KindPromote sends the new epoch of a shard whose pair has changed in any
	// other way.
	KindPromote = "once/promote"
)

// verdictReply is the reply to a claim or a chunk.
type verdictReply struct {
	Verdict once.Verdict `msgpack:"v"`
	// Shard is the latest one known to the replying node.
	Shard once.Shard `msgpack:"s"`
}

func encode(v any) ([]byte, error) {
	b, err := msgpack.Marshal(v)
	return b, eris.Wrap(err, "encode control message")
}

func decode[T any](b []byte) (T, error) {
	var v T
	err := wire.Unmarshal(b, &v)
	return v, eris.Wrap(err, "decode control message; both nodes must run compatible versions")
}
