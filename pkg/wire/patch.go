package wire

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// baseID is the dictionary ID of the base in a patch.
	baseID = 1
	// maxWindow bounds how far back the compression looks, and so its memory.
	maxWindow = 16 << 20
)

// Digest identifies a base for Patch.
func Digest(base []byte) uint64 { return xxhash.Sum64(base) }

// Patch returns data in compressed form (zstd), from which Apply restores it with the
// same base. It is small if data differs little from base. An empty base is allowed.
func Patch(data, base []byte) ([]byte, error) {
	window := 1 << bits.Len(uint(len(data)+len(base)))
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(min(max(window, zstd.MinWindowSize), maxWindow)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return encoder.EncodeAll(data, nil), nil
}

// Apply restores the data of a patch. It returns an error if the data is longer than
// limit, or if another base was used.
func Apply(patch, base []byte, limit int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(maxWindow),
		zstd.WithDecoderMaxMemory(uint64(limit)),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	defer decoder.Close()
	data, err := decoder.DecodeAll(patch, nil)
	return data, eris.Wrap(err, "decompress")
}
