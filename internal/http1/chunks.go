package http1

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// chunks decodes a chunked body (RFC 9112, 7.1) piece by piece. The zero value
// is at the start of a body.
type chunks struct {
	state chunkState
	// line holds the part of a size or trailer line that has come.
	line []byte
	// left is how much of the present chunk is to come.
	left int
	// trailer counts the bytes of the trailer section.
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
	// maxChunkLine bounds a size line with its extensions.
	maxChunkLine = 4 << 10
	// maxSizeDigits keeps a chunk's size within 32 bits.
	maxSizeDigits = 8
)

// feed passes the data of chunks to add and returns how many bytes it has used;
// it uses none after the end of the body.
func (c *chunks) feed(data []byte, add func([]byte) error) (int, error) {
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
		if err := c.take(line); err != nil {
			return used, err
		}
		c.line = c.line[:0]
	}
	return used, nil
}

// take handles a whole line.
func (c *chunks) take(line []byte) error {
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
