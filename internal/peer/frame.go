// Package peer carries requests between nodes over TCP, many at a time on one
// connection, and notices connections that have gone silent.
package peer

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// Frame types. A stream is opened by the side that dialled.
const (
	frameHello byte = iota + 1
	// frameOpen carries the head of a request; frameData and frameEnd its body.
	frameOpen
	frameData
	frameEnd
	// frameAccept tells that the request has arrived.
	frameAccept
	// frameHead carries the head of an answer; frameData and frameEnd its body.
	frameHead
	// frameReset ends a stream without an end: from the dialling side the request
	// was given up, from the other side the answer was cut short.
	frameReset
	// frameCredit allows the sender of an answer that many bytes more.
	frameCredit
	framePing
	framePong
)

const (
	frameHeader = 9
	// maxFrame bounds a head; data frames are shorter.
	maxFrame = 512 << 10
	// dataFrame is the size of a data frame, so that a large body does not hold up
	// the frames of other streams.
	dataFrame = 16 << 10
	// readBuffer holds the head of a request and a small answer. A node has hundreds
	// of connections; larger payloads are read past it.
	readBuffer = 4 << 10
	// answerWindow is how much of an answer is sent before the caller took it.
	answerWindow = 256 << 10
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

// readFrame reads the next frame. The payload is not used again by the reader.
func readFrame(r io.Reader) (frame, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	f := frame{kind: head[0], stream: binary.BigEndian.Uint32(head[1:5])}
	size := binary.BigEndian.Uint32(head[5:])
	if size > maxFrame {
		return frame{}, eris.Errorf("frame of %d bytes is over the limit of %d", size, maxFrame)
	}
	if size > 0 {
		f.payload = make([]byte, size)
		if _, err := io.ReadFull(r, f.payload); err != nil {
			return frame{}, err
		}
	}
	return f, nil
}

// appendBody appends the frames of a whole body and its end.
func appendBody(out net.Buffers, stream uint32, body []byte) net.Buffers {
	for len(body) > 0 {
		n := min(len(body), dataFrame)
		out = append(out, appendHeader(nil, frameData, stream, n), body[:n])
		body = body[n:]
	}
	return append(out, appendHeader(nil, frameEnd, stream, 0))
}
