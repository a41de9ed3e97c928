package node

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/quic-go/quic-go"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// answerBody reads the data frames of one answer. It returns io.EOF only after
// an end frame whose total equals the bytes read.
type answerBody struct {
	stream *quic.Stream
	reader io.Reader
	// remaining is the number of unread bytes of the current data frame.
	remaining int
	total     uint64
	// declared is the declared length of the body, or -1.
	declared int64
	done     bool
	closed   sync.Once
	// release ends the request in the link's count of requests in flight.
	release func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	for b.remaining == 0 {
		kind, size, err := readFrameHeader(b.reader)
		if err != nil {
			return 0, b.truncated(err)
		}
		if kind == frameEnd {
			return 0, b.end(size)
		}
		if kind == frameFault {
			return 0, b.fault(size)
		}
		if kind != frameData || size == 0 { // a node sends no empty frames
			return 0, b.truncated(io.ErrUnexpectedEOF)
		}
		b.remaining = size
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	b.total += uint64(n)
	if err != nil && (err != io.EOF || n == 0) {
		return n, b.truncated(err)
	}
	return n, nil
}

func (b *answerBody) end(size int) error {
	var total [8]byte
	if size != len(total) {
		return b.truncated(io.ErrUnexpectedEOF)
	}
	if _, err := io.ReadFull(b.reader, total[:]); err != nil {
		return b.truncated(err)
	}
	if sent := binary.BigEndian.Uint64(total[:]); sent != b.total || (b.declared >= 0 && b.total != uint64(b.declared)) {
		return b.truncated(io.ErrUnexpectedEOF)
	}
	b.done = true
	return io.EOF
}

// fault decodes the error that the remote node got while it read the answer.
func (b *answerBody) fault(size int) error {
	payload := make([]byte, size)
	if _, err := io.ReadFull(b.reader, payload); err != nil {
		return b.truncated(err)
	}
	var f fault.Error
	if err := wire.Unmarshal(payload, &f); err != nil {
		return b.truncated(err)
	}
	return b.truncated(&f)
}

func (b *answerBody) truncated(err error) error {
	return fault.New(fault.KindCutShort, "answer ended after %d bytes: %v", b.total, err)
}

// Close ends the request. Closing before io.EOF cancels it at the remote node.
func (b *answerBody) Close() error {
	b.closed.Do(func() {
		if !b.done {
			b.stream.CancelRead(codeCanceled)
		}
		b.release()
	})
	return nil
}
