// Package wire decodes the lists in messages from other nodes within bounds.
package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// List decodes a list of at most limit elements; the noun names them in errors.
// It grows by one element at a time, because msgpack v5.4.1 allocates a slice
// of structs at the length that the message claims before it reads an element:
// a message of 22 bytes can claim 808 million. The limit is needed as well,
// because an element of one byte on the wire may take 200 in memory.
func List[T any](d *msgpack.Decoder, limit int, noun string) ([]T, error) {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if err := check(n, limit, noun); err != nil {
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

func check(n, limit int, noun string) error {
	if n > limit {
		return eris.Errorf("%d %s are over the limit of %d", n, noun, limit)
	}
	return nil
}
