package http1

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// chunkDecoder decodes a chunked body (RFC 9112, 7.1) incrementally. The zero value
// is ready to decode a body.
type chunkDecoder struct {
	state chunkState
	// line holds the received part of a size or trailer line.
	line []byte
	// left is the number of bytes of the current chunk that are still to come.
	left int
	// trailer is the size of the trailer section so far in bytes.
	trailer int
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkData
	chunkEnd
	chunkTrailer
	chunkDone
)

const (
	// maxChunkLine is the maximum length of a size line with its extensions.
	maxChunkLine = 4 << 10
	// maxSizeDigits limits a chunk's size to 32 bits.
	maxSizeDigits = 8
)

// feed decodes data, calls add with the content of the chunks and returns how many
// bytes of data it has consumed. It consumes none after the end of the body.
func (c *chunkDecoder) feed(data []byte, add func([]byte) error) (int, error) {
	used := 0
	for used < len(data) && c.state != chunkDone {
		if c.state == chunkData {
			n := min(c.left, len(data)-used)
			if err := add(data[used : used+n]); err != nil {
				return used, err
			}
			used += n
			if c.left -= n; c.left == 0 {
				c.state = chunkEnd
			}
			continue
		}
		b := data[used]
		used++
		c.line = append(c.line, b)
		if len(c.line) > maxChunkLine {
			return used, eris.New("a line of a chunked body is too long")
		}
		if b != '\n' {
			continue
		}
		line, _, ok := cutLine(c.line)
		if !ok {
			return used, eris.New("a line of a chunked body does not end with CRLF")
		}
		if err := c.handleLine(line); err != nil {
			return used, err
		}
		c.line = c.line[:0]
	}
	return used, nil
}

// handleLine processes a complete line without its CRLF.
func (c *chunkDecoder) handleLine(line []byte) error {
	switch c.state {
	case chunkSize:
		n, err := readChunkSize(line)
		if err != nil {
			return err
		}
		c.left, c.state = n, chunkData
		if n == 0 {
			c.state = chunkTrailer
		}
	case chunkEnd:
		if len(line) > 0 {
			return eris.New("a chunk is longer than its size")
		}
		c.state = chunkSize
	case chunkTrailer:
		if len(line) == 0 {
			c.state = chunkDone
			return nil
		}
		if c.trailer += len(line); c.trailer > defaultHeader {
			return eris.New("the trailer of a chunked body is too long")
		}
		_, _, err := readField(line)
		return err
	}
	return nil
}

func readChunkSize(line []byte) (int, error) {
	size, extension, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > maxSizeDigits {
		return 0, eris.Errorf("chunk size %.20q is not a number", size)
	}
	for _, c := range extension {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, eris.New("control character in a chunk extension")
		}
	}
	n := 0
	for _, c := range size {
		switch {
		case c >= '0' && c <= '9':
			n = n<<4 | int(c-'0')
		case c >= 'a' && c <= 'f':
			n = n<<4 | int(c-'a'+10)
		case c >= 'A' && c <= 'F':
			n = n<<4 | int(c-'A'+10)
		default:
			return 0, eris.Errorf("chunk size %.20q is not a number", size)
		}
	}
	return n, nil
}
