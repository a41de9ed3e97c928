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
	// KindHandOver sends the changed shard after its owner has handed it over.
	// Claims of that owner are treated as running for handOverGrace.
	KindHandOver = "once/handover"
	// KindPromote sends a shard in the latest epoch that the sender knows, after a
	// change of the pair other than a hand-over or to request a repair. The
	// receiver applies it and repairs the shard if needed.
	KindPromote = "once/promote"
)

// verdictReply is the reply to a claim or a chunk.
type verdictReply struct {
	Verdict once.Verdict `msgpack:"v"`
	// Shard is the shard in the latest epoch that the replying node knows.
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
