package wire

import (
	"net/http"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHeader bounds the names of a header and the values of one name. The frame
// that carries a header has at most 256 KB, so a longer list is never sent.
const maxHeader = 256 << 10

// BoundHeaders makes the msgpack library decode every http.Header one field at
// a time. By itself it makes room for a million names and as many values when a
// message of 12 bytes claims them, which takes about 100 MB. Call it before the
// first message is decoded.
func BoundHeaders() { msgpack.Register(http.Header(nil), nil, decodeHeader) }

func decodeHeader(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeMapLen()
	if err != nil || n < 0 {
		v.SetZero()
		return err
	}
	if err := check(n, maxHeader, "header names"); err != nil {
		return err
	}
	header := make(http.Header)
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		if header[name], err = List[string](d, maxHeader, "header values"); err != nil {
			return err
		}
	}
	v.Set(reflect.ValueOf(header))
	return nil
}
