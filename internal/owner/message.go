package owner

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/pkg/once"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Kinds of control messages.
const (
	// KindClaim asks the backup to store a key before it runs.
	KindClaim = "once/claim"
	// KindSettle tells how an attempt ended.
	KindSettle = "once/settle"
	// KindTransfer copies a chunk of records to a new backup.
	KindTransfer = "once/transfer"
	// KindHandOver tells the backup that it is the owner now because the owner
	// is about to stop.
	KindHandOver = "once/handover"
	// KindPromote tells members of the old and the new pair that the pair has
	// changed.
	KindPromote = "once/promote"
)

// verdictReply answers a claim or a chunk.
type verdictReply struct {
	Verdict once.Verdict `msgpack:"v"`
	// Shard is the newest one that the replying node knows.
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
