package metrics

import (
	"bytes"
	"encoding/binary"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

const (
	// flushInterval is the length of an interval. A new configuration version ends the
	// interval early, so that no interval covers two versions.
	flushInterval = 10 * time.Second
	// retention is how long intervals are kept if they fit into maxHistoryBytes.
	retention = time.Hour
	// maxHistoryBytes bounds the memory of the intervals. The oldest ones are evicted
	// first. At 123 requests per second, the planned rate of a node, an hour with 30
	// labels takes 1.0 MB, and with 250 labels there is room for 40 minutes.
	maxHistoryBytes = 1 << 20
	// intervalOverhead is the memory of an interval without figures.
	intervalOverhead = 200
	// maxWindow is the longest time before and after a change that a report covers.
	maxWindow = 10 * time.Minute
)

// History keeps the figures of the last hour in intervals. The exported fields must
// be set before the first Tick and must not be nil.
type History struct {
	Registry *Registry
	Limits   *budget.Limiter

	mu        sync.Mutex
	intervals []interval
	size      int
	// intervalStart and version describe the current interval. intervalStart is zero
	// before the first Tick.
	intervalStart time.Time
	version       uint64
	// links holds the total bytes of each link at the end of the last interval.
	links map[budget.Key]int64
	// packedLabels holds the labels of packed histograms by index, labelIndexes the
	// indexes by label. Both hold at most maxSeries labels, because the registry never
	// removes a label.
	packedLabels []Label
	labelIndexes map[Label]int
}

// interval holds the figures of one interval. Its times have a monotonic clock
// reading.
type interval struct {
	from, to time.Time
	version  uint64
	// latency holds the label index, the length and the counts of each histogram
	// instead of Figures.Latency, which is nil. With few requests for most labels, a
	// struct for each would take four times the memory.
	latency []byte
	Figures
}

func (s *interval) size() int { return intervalOverhead + cap(s.latency) + s.Figures.size() }

// Tick ends the current interval if it has lasted long enough or if another
// configuration version has come into force.
func (h *History) Tick(now time.Time, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.intervalStart.IsZero() {
		h.intervalStart, h.version, h.links = now, version, make(map[budget.Key]int64)
	}
	if version != h.version || now.Sub(h.intervalStart) >= flushInterval {
		h.flush(now)
		h.version = version
	}
}

// flush ends the current interval and starts the next one.
func (h *History) flush(now time.Time) {
	s := interval{from: h.intervalStart, to: now, version: h.version, Figures: h.Registry.flush()}
	for _, key := range h.Limits.Keys(nil) {
		if !key.IsLink() {
			continue
		}
		spent, _ := h.Limits.Counters(key).Total()
		total := int64(spent.Bytes)
		// The counters of a key that was evicted while idle restart at zero.
		if n := total - min(h.links[key], total); n > 0 {
			from, to := key.Regions()
			s.Links = append(s.Links, LinkBytes{from, to, n})
		}
		h.links[key] = total
	}
	s.latency, s.Latency = h.pack(s.Latency), nil
	h.intervalStart = now
	h.intervals = append(h.intervals, s)
	h.size += s.size()
	h.evict(now)
}

// pack encodes histograms for interval.latency.
func (h *History) pack(all []Latency) []byte {
	var buf []byte
	for _, l := range all {
		labelIndex, known := h.labelIndexes[l.Label]
		if !known {
			if h.labelIndexes == nil {
				h.labelIndexes = make(map[Label]int)
			}
			labelIndex = len(h.packedLabels)
			h.packedLabels = append(h.packedLabels, l.Label)
			h.labelIndexes[l.Label] = labelIndex
		}
		buf = binary.AppendUvarint(buf, uint64(labelIndex))
		buf = binary.AppendUvarint(buf, uint64(len(l.Counts)))
		buf = append(buf, l.Counts...)
	}
	return bytes.Clone(buf)
}

// figures returns the figures of the interval with its histograms by label.
func (h *History) figures(s interval) Figures {
	f := s.Figures
	for rest := s.latency; len(rest) > 0; {
		labelIndex, n := binary.Uvarint(rest)
		size, m := binary.Uvarint(rest[n:])
		counts := rest[n+m:][:size]
		f.Latency = append(f.Latency, Latency{h.packedLabels[labelIndex], counts})
		rest = rest[n+m+int(size):]
	}
	return f
}

func (h *History) evict(now time.Time) {
	for len(h.intervals) > 0 && (h.size > maxHistoryBytes || now.Sub(h.intervals[0].to) > retention) {
		h.size -= h.intervals[0].size()
		h.intervals[0] = interval{}
		h.intervals = h.intervals[1:]
	}
}

// WindowsAround returns the windows before and after the version came into force. The
// first covers only the previous version and the second only the version itself, so
// that other changes do not distort them.
func (h *History) WindowsAround(now time.Time, version uint64) Windows {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.intervalStart.IsZero() && now.After(h.intervalStart) {
		h.flush(now)
	}
	var before, after []interval
	for _, s := range h.intervals {
		switch s.version {
		case version - 1:
			before = append(before, s)
		case version:
			after = append(after, s)
		}
	}
	for len(before) > 0 && before[len(before)-1].to.Sub(before[0].from) > maxWindow {
		before = before[1:]
	}
	for len(after) > 0 && after[len(after)-1].to.Sub(after[0].from) > maxWindow {
		after = after[:len(after)-1]
	}
	return Windows{Before: h.aggregate(before, now), After: h.aggregate(after, now)}
}

func (h *History) aggregate(intervals []interval, now time.Time) *Window {
	if len(intervals) == 0 {
		return nil
	}
	var sum Sum
	for _, s := range intervals {
		sum.Add(h.figures(s))
	}
	return &Window{From: now.Sub(intervals[0].from), To: now.Sub(intervals[len(intervals)-1].to), Figures: sum.Figures()}
}

// Version returns the configuration version of the current interval.
func (h *History) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}
