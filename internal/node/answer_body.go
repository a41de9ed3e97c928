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
	// left is the unread rest of the current data frame.
	left  int
	total uint64
	// want is the declared length of the body, or -1.
	want   int64
	done   bool
	closed sync.Once
	// release returns the request's place in the link's count of requests in flight.
	release func()
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	for b.left == 0 {
		kind, size, err := readFrameHeader(b.reader)
		if err != nil {
			return 0, b.cut(err)
		}
		if kind == frameEnd {
			return 0, b.end(size)
		}
		if kind == frameFault {
			return 0, b.fault(size)
		}
		if kind != frameData {
			return 0, b.cut(io.ErrUnexpectedEOF)
		}
		b.left = size
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.total += uint64(n)
	if err != nil && (err != io.EOF || n == 0) {
		return n, b.cut(err)
	}
	return n, nil
}

func (b *answerBody) end(size int) error {
	var total [8]byte
	if size != len(total) {
		return b.cut(io.ErrUnexpectedEOF)
	}
	if _, err := io.ReadFull(b.reader, total[:]); err != nil {
		return b.cut(err)
	}
	if sent := binary.BigEndian.Uint64(total[:]); sent != b.total || (b.want >= 0 && b.total != uint64(b.want)) {
		return b.cut(io.ErrUnexpectedEOF)
	}
	b.done = true
	return io.EOF
}

// fault returns the error that the far node met while it read the answer.
func (b *answerBody) fault(size int) error {
	payload := make([]byte, size)
	if _, err := io.ReadFull(b.reader, payload); err != nil {
		return b.cut(err)
	}
	var f fault.Error
	if err := wire.Unmarshal(payload, &f); err != nil {
		return b.cut(err)
	}
	return b.cut(&f)
}

func (b *answerBody) cut(err error) error {
	return fault.New(fault.KindCutShort, "answer ended after %d bytes: %v", b.total, err)
}

// Close ends the request. Closing before io.EOF cancels it at the far node.
func (b *answerBody) Close() error {
	b.closed.Do(func() {
		if !b.done {
			b.stream.CancelRead(codeCanceled)
		}
		b.release()
	})
	return nil
}
