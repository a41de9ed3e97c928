// Package peer sends requests between nodes of package mesh over multiplexed TCP
// connections and detects connections that are silently lost.
package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/tcp"
)

// Frame types. Streams are opened by the side that dialed the connection.
const (
	frameHello byte = iota + 1
	// frameOpen contains the head of a request; frameData and frameEnd its body.
	frameOpen
	frameData
	frameEnd
	// frameAccept acknowledges the head of a request.
	frameAccept
	// frameHead contains the head of an answer; frameData and frameEnd its body.
	frameHead
	// frameReset aborts a stream: the client canceled the request, or the server could
	// not complete the answer.
	frameReset
	// frameCredit extends the flow control window of an answer by a number of bytes.
	frameCredit
	framePing
	framePong
)

const (
	frameHeaderSize = 9
	// maxFrameSize bounds the payload of a frame. Only heads may be that large; data
	// frames are shorter.
	maxFrameSize = 512 << 10
	// dataFrameSize bounds data frames so that a large body does not delay the frames
	// of other streams.
	dataFrameSize = 16 << 10
	// readBufferSize fits the head of a request and a small answer. It is small because
	// a node has hundreds of connections; larger payloads bypass the buffer.
	readBufferSize = 4 << 10
	// answerWindow is the flow control window of an answer: how many bytes may be sent
	// before the client has read them.
	answerWindow = 256 << 10
	// frameTimeout is the maximum time from the first byte of a frame to its end. The
	// largest frame fits into it on a link that many connections share.
	frameTimeout = 30 * time.Second
)

type frame struct {
	kind    byte
	stream  uint32
	payload []byte
}

func appendHeader(buf []byte, kind byte, stream uint32, size int) []byte {
	buf = append(buf, kind)
	buf = binary.BigEndian.AppendUint32(buf, stream)
	return binary.BigEndian.AppendUint32(buf, uint32(size))
}

// readFrame reads the next frame. The payload is a new slice that the caller owns.
func readFrame(r io.Reader) (frame, error) {
	var head [frameHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	f := frame{kind: head[0], stream: binary.BigEndian.Uint32(head[1:5])}
	size := binary.BigEndian.Uint32(head[5:])
	if size > maxFrameSize {
		return frame{}, eris.Errorf("frame of %d bytes is over the limit of %d", size, maxFrameSize)
	}
	if size > 0 {
		f.payload = make([]byte, size)
		if _, err := io.ReadFull(r, f.payload); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}

// frameReader reads the frames of a connection.
type frameReader struct {
	conn   tcp.Conn
	reader *bufio.Reader
}

// newFrameReader returns a reader; a timeout of zero means frameTimeout.
func newFrameReader(conn net.Conn, timeout time.Duration) *frameReader {
	if timeout <= 0 {
		timeout = frameTimeout
	}
	r := &frameReader{conn: tcp.Conn{Conn: conn, Timeout: timeout}}
	r.reader = bufio.NewReaderSize(&r.conn, readBufferSize)
	return r
}

func (r *frameReader) next() (frame, error) {
	f, err := readFrame(r.reader)
	r.conn.Next()
	if r.reader.Buffered() > 0 {
		r.conn.Begin()
	}
	return f, err
}

// appendBody appends the data frames of a body and its end frame.
func appendBody(out net.Buffers, stream uint32, body []byte) net.Buffers {
	for len(body) > 0 {
		n := min(len(body), dataFrameSize)
		out = append(out, appendHeader(nil, frameData, stream, n), body[:n])
		body = body[n:]
	}
	return append(out, appendHeader(nil, frameEnd, stream, 0))
}
