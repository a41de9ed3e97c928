package budget

import "time"

const (
	slice = time.Second / 16
	// slices cover one second, maxGap and the current partial slice, so two
	// messages less than one second and maxGap apart are always summed.
	slices = int64((time.Second+maxGap)/slice) + 1
)

// window sums what was spent in the last slices.
//
// Invariant: sum is the total of spent, and no entry of spent is older than
// slices before current.
type window struct {
	spent   [slices]Rate
	sum     Rate
	current int64
}

func (w *window) advance(elapsed time.Duration) {
	n := int64(elapsed / slice)
	if n-w.current >= slices {
		*w = window{current: n}
		return
	}
	for w.current < n {
		w.current++
		old := &w.spent[w.current%slices]
		w.sum.Messages -= old.Messages
		w.sum.Bytes -= old.Bytes
		*old = Rate{}
	}
}

func (w *window) fits(limit Rate, bytes int64) bool {
	return w.sum.Messages < limit.Messages && bytes <= limit.Bytes-w.sum.Bytes
}

func (w *window) add(bytes int64) {
	s := &w.spent[w.current%slices]
	s.Messages++
	s.Bytes += bytes
	w.sum.Messages++
	w.sum.Bytes += bytes
}
