package metrics

import (
	"encoding/binary"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// pack encodes the counts that are not zero as pairs of varints: the difference to the
// previous index, and the count. A histogram of a few hundred requests takes about 100
// bytes instead of 17 KB.
func pack(counts []int64) []byte {
	var packed []byte
	previous := 0
	for i, n := range counts {
		if n <= 0 {
			continue
		}
		packed = binary.AppendUvarint(packed, uint64(i-previous))
		packed = binary.AppendUvarint(packed, uint64(n))
		previous = i
	}
	return packed
}

// unpack adds packed counts to counts. It stops at malformed or out-of-range data,
// because the histograms of a node with another version may have another range.
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

// emptyCounts returns the counts of an empty histogram.
func emptyCounts() []int64 { return newHDR().Export().Counts }

func fromCounts(counts []int64) *hdrhistogram.Histogram {
	return hdrhistogram.Import(&hdrhistogram.Snapshot{
		LowestTrackableValue: lowest, HighestTrackableValue: highest, SignificantFigures: digits, Counts: counts,
	})
}
