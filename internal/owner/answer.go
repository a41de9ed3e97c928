package owner

import (
	"bytes"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// MaxKeptBody is the size in bytes of the largest answer body that is stored.
	MaxKeptBody = 16 << 10
	// copyBufferSize is the size of the buffer for copying an answer to the caller.
	copyBufferSize = 8 << 10
)

// keptAnswer is the stored form of an answer.
type keptAnswer struct {
	Status int         `msgpack:"s"`
	Header http.Header `msgpack:"h"`
	Server string      `msgpack:"v"`
	Body   []byte      `msgpack:"b"`
}

// add appends b to the body, or returns false if it would become too large.
func (k *keptAnswer) add(b []byte) bool {
	if len(k.Body)+len(b) > MaxKeptBody {
		return false
	}
	k.Body = append(k.Body, b...)
	return true
}

// encode returns the stored form, or nil if the answer cannot be stored.
func (k *keptAnswer) encode() []byte {
	b, err := msgpack.Marshal(k)
	if err != nil || len(b) > 2*MaxKeptBody {
		return nil
	}
	return b
}

// replay returns the stored first answer for a resent request.
func replay(b []byte, r call.Request) (*call.Answer, error) {
	var k keptAnswer
	if err := wire.Unmarshal(b, &k); err != nil {
		return nil, fault.New(fault.KindFinished, "key %q has run; its kept answer cannot be read: %v", r.Key, err)
	}
	return &call.Answer{
		Status: k.Status, Header: k.Header, Server: k.Server,
		Length: int64(len(k.Body)), Body: io.NopCloser(bytes.NewReader(k.Body)),
		Allowance: r.Allowance, Replayed: true, Outcome: fault.Ran,
	}, nil
}
