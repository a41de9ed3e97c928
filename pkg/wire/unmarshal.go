package wire

import (
	"bytes"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes a message from another node. It differs from
// msgpack.Unmarshal where v5.4.1 lets a message harm the process:
//
// The decoder is dropped after an error. A message that claims a text longer
// than the decoder's buffer enlarges the buffer by 1 MB and more, and the pool
// would keep it for the next such message to enlarge.
//
// A panic becomes an error. The library panics at nil in place of a time.
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
