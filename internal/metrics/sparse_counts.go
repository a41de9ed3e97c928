package metrics

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
)

// Index arithmetic of an HdrHistogram with the range of this package: linear
// sub-buckets of 8 us. Each doubling of the value adds half as many sub-buckets of
// twice the width.
const (
	unitBits       = 3 // lowest is 1 << unitBits
	subBucketBits  = 8 // two digits need 256 sub-buckets
	subBucketHalf  = 1 << (subBucketBits - 1)
	subBucketLimit = 1<<(subBucketBits+unitBits) - 1
)

// countsIndex returns the index of a value in the counts of an HdrHistogram.
func countsIndex(v int64) int {
	bucket := bits.Len64(uint64(v|subBucketLimit)) - subBucketBits - unitBits
	return bucket*subBucketHalf + int(v>>(bucket+unitBits))
}

// sparseCounts holds the counts of a histogram that are not zero, sorted by index. An
// interval of 10 s has about 1,200 requests over all labels, so most labels use only a
// few of the 2,176 counts.
type sparseCounts []indexCount

type indexCount struct{ index, n uint32 }

// add counts a value between 0 and highest.
func (s *sparseCounts) add(v int64) {
	index := uint32(countsIndex(v))
	i, found := slices.BinarySearchFunc(*s, index, func(c indexCount, index uint32) int {
		return cmp.Compare(c.index, index)
	})
	if !found {
		*s = slices.Insert(*s, i, indexCount{index: index})
	}
	(*s)[i].n++
}

// pack encodes the counts like the function pack. It returns nil if there are none.
func (s sparseCounts) pack() []byte {
	if len(s) == 0 {
		return nil
	}
	var buf []byte
	previous := uint32(0)
	for _, c := range s {
		buf = binary.AppendUvarint(buf, uint64(c.index-previous))
		buf = binary.AppendUvarint(buf, uint64(c.n))
		previous = c.index
	}
	return slices.Clip(buf)
}
