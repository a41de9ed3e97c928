package metrics

import (
	"encoding/binary"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pack writes the counts that are not zero as pairs of varints: the distance
// to the index before and the count. A histogram of some hundred requests
// takes about 100 bytes instead of 17 KB.
func pack(counts []int64) []byte {
	var packed []byte
	before := 0
	for i, n := range counts {
		if n <= 0 {
			continue
		}
		packed = binary.AppendUvarint(packed, uint64(i-before))
		packed = binary.AppendUvarint(packed, uint64(n))
		before = i
	}
	return packed
}

// unpack adds packed counts to counts. It ignores what is malformed or out of
// range: a node of another version may have another geometry.
func unpack(counts []int64, packed []byte) {
	i := uint64(0)
	for len(packed) > 0 {
		step, n := binary.Uvarint(packed)
		if n <= 0 {
			return
		}
		count, m := binary.Uvarint(packed[n:])
		if m <= 0 {
			return
		}
		packed = packed[n+m:]
		if i += step; i >= uint64(len(counts)) {
			return
		}
		counts[i] += int64(count)
	}
}

// emptyCounts returns counts of the geometry of this package.
func emptyCounts() []int64 { return newHDR().Export().Counts }

func fromCounts(counts []int64) *hdrhistogram.Histogram {
	return hdrhistogram.Import(&hdrhistogram.Snapshot{
		LowestTrackableValue: lowest, HighestTrackableValue: highest, SignificantFigures: digits, Counts: counts,
	})
}
