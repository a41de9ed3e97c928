package node

import (
	"encoding/binary"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// Frame types on a stream between nodes.
const (
	frameHead byte = iota + 1
	frameData
	frameEnd
	// frameFault ends a truncated answer. A stream reset could discard frames that
	// were sent before it.
	frameFault
)

const (
	frameHeaderSize = 5
	maxHeadSize     = 256 << 10
	maxDataSize     = 64 << 10
	// MaxControlSize bounds a control message or its reply.
	MaxControlSize = 8 << 20
)

// requestHead is the first frame of a stream. Exactly one of Call and Kind is set.
type requestHead struct {
	From string        `msgpack:"f"`
	Call *call.Request `msgpack:"c,omitempty"`
	Kind string        `msgpack:"k,omitempty"`
	// Size is the number of body bytes that follow the head.
	Size int `msgpack:"z"`
}

// answerHead is the first frame of an answer, and the only one if Fault is set.
type answerHead struct {
	Fault     *fault.Error  `msgpack:"e,omitempty"`
	Status    int           `msgpack:"s"`
	Header    http.Header   `msgpack:"h,omitempty"`
	Length    int64         `msgpack:"n"`
	Load      call.Load     `msgpack:"l"`
	Server    string        `msgpack:"v"`
	Allowance int           `msgpack:"a"`
	Replayed  bool          `msgpack:"r,omitempty"`
	Outcome   fault.Outcome `msgpack:"o"`
}

func appendFrame(buf []byte, kind byte, payload []byte) []byte {
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	return append(buf, payload...)
}

func appendHead(buf []byte, head any) ([]byte, error) {
	payload, err := msgpack.Marshal(head)
	if err != nil {
		return nil, eris.Wrap(err, "encode frame head")
	}
	if len(payload) > maxHeadSize {
		return nil, fault.New(fault.KindTooLarge, "headers take %d bytes, the limit between nodes is %d", len(payload), maxHeadSize).
			WithRemedy("send fewer or smaller headers")
	}
	return appendFrame(buf, frameHead, payload), nil
}

// readFrameHeader returns the type and payload size of the next frame.
func readFrameHeader(r io.Reader) (kind byte, size int, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	kind, size = header[0], int(binary.BigEndian.Uint32(header[1:]))
	if limit := frameLimit(kind); size > limit {
		return 0, 0, eris.Errorf("frame of type %d and %d bytes is over the limit of %d; both nodes must run compatible versions", kind, size, limit)
	}
	return kind, size, nil
}

func frameLimit(kind byte) int {
	switch kind {
	case frameHead, frameFault:
		return maxHeadSize
	case frameData:
		return maxDataSize
	case frameEnd:
		return 8
	default:
		return -1
	}
}

func readHead(r io.Reader, head any) error {
	kind, size, err := readFrameHeader(r)
	if err != nil {
		return err
	}
	if kind != frameHead {
		return eris.Errorf("frame type %d where a head was expected; both nodes must run compatible versions", kind)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return err
	}
	return eris.Wrap(wire.Unmarshal(payload, head), "decode frame head")
}
