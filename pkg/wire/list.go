// Package wire decodes messages from other nodes and rows of the table service, and
// limits the memory that malformed ones can take.
package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// List decodes a list of at most limit elements, which errors refer to by noun. The
// slice grows by one element at a time, because msgpack v5.4.1 allocates a slice of
// structs of the encoded length before it reads an element: the length field in a
// message of 22 bytes can be 808 million. The limit is needed as well, because an
// element of one encoded byte may take 200 bytes of memory.
func List[T any](d *msgpack.Decoder, limit int, noun string) ([]T, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if err := checkLength(n, limit, noun); err != nil {
		return nil, err
	}
	var list []T
	for range n {
		var element T
		if err := d.Decode(&element); err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	return list, nil
}

func checkLength(n, limit int, noun string) error {
	if n > limit {
		return eris.Errorf("%d %s are over the limit of %d", n, noun, limit)
	}
	return nil
}
