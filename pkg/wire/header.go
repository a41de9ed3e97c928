package wire

import (
	"net/http"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHeaderLength limits the number of names in a header and of values of one name.
// The frame that carries a header has at most 256 KB, so a longer list is never
// sent.
const maxHeaderLength = 256 << 10

// BoundHeaders registers a decoder for http.Header that adds one field at a time.
// The default decoder of the msgpack library allocates room for up to a million
// names and as many values from the length fields alone: a message of 12 bytes
// makes it take about 100 MB. Call BoundHeaders before the first message is
// decoded.
func BoundHeaders() { msgpack.Register(http.Header(nil), nil, decodeHeader) }

func decodeHeader(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeMapLen()
	if err != nil || n < 0 {
		v.SetZero()
		return err
	}
	if err := checkLength(n, maxHeaderLength, "header names"); err != nil {
		return err
	}
	header := make(http.Header)
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return err
		}
		if header[name], err = List[string](d, maxHeaderLength, "header values"); err != nil {
			return err
		}
	}
	v.Set(reflect.ValueOf(header))
	return nil
}
