package wire

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes a message from another node, or a row of the table service that
// another node wrote. It differs from msgpack.Unmarshal v5.4.1 in two respects, so
// that malformed messages neither fill the memory nor end the process:
//
// After an error, the decoder is not put back into the pool. A message that states a
// long string enlarges the decoder's buffer by 1 MB or more, and a pooled decoder
// would keep that buffer and enlarge it again with the next such message.
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
