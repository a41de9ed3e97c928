package metrics

import (
	"bytes"
	"encoding/binary"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

const (
	// interval is how often the figures are cut; a new configuration version
	// cuts them at once, so that no interval covers two versions.
	interval = 10 * time.Second
	// kept is how long intervals are kept, if maxHistory allows.
	kept = time.Hour
	// maxHistory bounds the memory of the kept intervals; the oldest ones go
	// first. At 123 requests a second, the target for a node, an hour of 30 labels
	// takes 1.0 MB, and 250 labels leave room for 40 minutes.
	maxHistory = 1 << 20
	// spanSize is the memory of an interval without figures.
	spanSize = 200
	// maxWindow bounds the time before and after a change that a report covers.
	maxWindow = 10 * time.Minute
)

// History keeps the figures of the last hour in intervals. Set the exported
// fields before Tick.
type History struct {
	// Registry and Limits are never nil.
	Registry *Registry
	Limits   *budget.Limiter

	mu        sync.Mutex
	intervals []span
	size      int
	// since and version describe the running interval; since is zero before
	// the first Tick.
	since   time.Time
	version uint64
	// links holds the bytes of each link at the last cut.
	links map[budget.Key]int64
	// labels and numbers are the labels of packed histograms. The registry
	// keeps its labels, so that there are at most maxSeries.
	labels  []Label
	numbers map[Label]int
}

// span is one interval. Its times carry a monotonic reading.
type span struct {
	from, to time.Time
	version  uint64
	// latency holds number of the label, length and counts of each histogram;
	// Figures.Latency is nil. A struct for each would take four times the memory
	// when most labels have a few requests.
	latency []byte
	Figures
}

func (s *span) size() int { return spanSize + cap(s.latency) + s.Figures.size() }

// Tick ends the running interval when it is due or when another configuration
// version has come into force.
func (h *History) Tick(now time.Time, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() {
		h.since, h.version, h.links = now, version, make(map[budget.Key]int64)
	}
	if version != h.version || now.Sub(h.since) >= interval {
		h.cut(now)
		h.version = version
	}
}

func (h *History) cut(now time.Time) {
	s := span{from: h.since, to: now, version: h.version, Figures: h.Registry.cut()}
	for _, key := range h.Limits.Keys(nil) {
		if !key.IsLink() {
			continue
		}
		spent, _ := h.Limits.Counters(key).Total()
		total := int64(spent.Bytes)
		// A key that was idle for long starts again at zero.
		if n := total - min(h.links[key], total); n > 0 {
			from, to := key.Regions()
			s.Links = append(s.Links, LinkBytes{from, to, n})
		}
		h.links[key] = total
	}
	s.latency, s.Latency = h.pack(s.Latency), nil
	h.since = now
	h.intervals = append(h.intervals, s)
	h.size += s.size()
	h.forget(now)
}

func (h *History) pack(all []Latency) []byte {
	var buf []byte
	for _, l := range all {
		number, known := h.numbers[l.Label]
		if !known {
			if h.numbers == nil {
				h.numbers = make(map[Label]int)
			}
			number = len(h.labels)
			h.labels = append(h.labels, l.Label)
			h.numbers[l.Label] = number
		}
		buf = binary.AppendUvarint(buf, uint64(number))
		buf = binary.AppendUvarint(buf, uint64(len(l.Counts)))
		buf = append(buf, l.Counts...)
	}
	return bytes.Clone(buf)
}

// figures returns what was counted in the interval.
func (h *History) figures(s span) Figures {
	f := s.Figures
	for rest := s.latency; len(rest) > 0; {
		number, n := binary.Uvarint(rest)
		size, m := binary.Uvarint(rest[n:])
		counts := rest[n+m:][:size]
		f.Latency = append(f.Latency, Latency{h.labels[number], counts})
		rest = rest[n+m+int(size):]
	}
	return f
}

func (h *History) forget(now time.Time) {
	for len(h.intervals) > 0 && (h.size > maxHistory || now.Sub(h.intervals[0].to) > kept) {
		h.size -= h.intervals[0].size()
		h.intervals[0] = span{}
		h.intervals = h.intervals[1:]
	}
}

// WindowsAround returns the windows before and after the version came into force. The
// window before holds only the version that it was based on, and the one after
// only the version itself, so that another change does not distort them.
func (h *History) WindowsAround(now time.Time, version uint64) Windows {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.since.IsZero() && now.After(h.since) {
		h.cut(now)
	}
	var before, after []span
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
	return Windows{Before: h.sumUp(before, now), After: h.sumUp(after, now)}
}

func (h *History) sumUp(spans []span, now time.Time) *Window {
	if len(spans) == 0 {
		return nil
	}
	var sum Sum
	for _, s := range spans {
		sum.Add(h.figures(s))
	}
	return &Window{From: now.Sub(spans[0].from), To: now.Sub(spans[len(spans)-1].to), Figures: sum.Figures()}
}

// Version returns the configuration version of the running interval.
func (h *History) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}
