package budget

import "time"

const (
	sliceDuration = time.Second / 16
	// sliceCount slices cover one second, maxGap and the current partial slice, so
	// two messages less than one second and maxGap apart are always added up.
	sliceCount = int64((time.Second+maxGap)/sliceDuration) + 1
)

// window is a sliding window over the messages sent in the last sliceCount slices.
//
// Invariant: sum is the total of spent, and spent holds only the last sliceCount
// slices up to currentSlice.
type window struct {
	spent        [sliceCount]Rate
	sum          Rate
	currentSlice int64
}

func (w *window) advance(elapsed time.Duration) {
	n := int64(elapsed / sliceDuration)
	if n-w.currentSlice >= sliceCount {
		*w = window{currentSlice: n}
		return
	}
	for w.currentSlice < n {
		w.currentSlice++
		old := &w.spent[w.currentSlice%sliceCount]
		w.sum.Messages -= old.Messages
		w.sum.Bytes -= old.Bytes
		*old = Rate{}
	}
}

func (w *window) fits(limit Rate, bytes int64) bool {
	return w.sum.Messages < limit.Messages && bytes <= limit.Bytes-w.sum.Bytes
}

func (w *window) add(bytes int64) {
	s := &w.spent[w.currentSlice%sliceCount]
	s.Messages++
	s.Bytes += bytes
	w.sum.Messages++
	w.sum.Bytes += bytes
}
