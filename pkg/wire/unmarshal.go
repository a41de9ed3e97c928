package wire

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes a message from another node. It differs from msgpack.Unmarshal
// v5.4.1 in two respects, so that malformed messages do not harm the process:
//
// The decoder is discarded after an error. A message with a string length above the
// size of the decoder's buffer enlarges the buffer by 1 MB or more. In the decoder
// pool, the buffer would grow with each such message.
//
// A panic is converted to an error. The library panics if a time is encoded as nil.
func Unmarshal(message []byte, v any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("decode message: %v", cause)
		}
	}()
	d := msgpack.GetDecoder()
	d.Reset(bytes.NewReader(message))
	if err := d.Decode(v); err != nil {
		return err
	}
	msgpack.PutDecoder(d)
	return nil
}
