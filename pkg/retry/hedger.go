package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeShare is the part of a hedge that each call earns, in thousandths.
	hedgeShare = 20
	// maxClasses bounds the memory at about 170 KB; further classes share one
	// window.
	maxClasses = 16
	otherClass = ""
	// minSamples is the least number of answers that a p95 is taken from.
	minSamples = 100

	sections    = 3
	sectionTime = 5 * time.Second
	refreshTime = time.Second
	// unit, longest and digits bound a window to 10 KB. No request lives longer
	// than 30 s. One digit rounds the p95 up by at most 7 %; two digits would
	// take 64 KB.
	unit    = 10 * time.Microsecond
	longest = 30 * time.Second
	digits  = 1
)

// Hedger decides when a second attempt may run beside a slow first one: after
// the p95 of its class, for at most 2 % of the calls. The zero value works.
type Hedger struct {
	mu      sync.Mutex
	classes map[string]*window
	bucket  bucket
}

// window holds the latencies of one class in the last 10 to 15 s.
type window struct {
	*hdrhistogram.WindowedHistogram
	rotated   time.Time
	refreshed time.Time
	samples   int64
	p95       time.Duration
}

// Observe records the latency of an answered call.
func (h *Hedger) Observe(class string, latency time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.window(class, now)
	w.rotate(now)
	w.samples++
	_ = w.Current.RecordValue(int64(min(max(latency, 0), longest) / unit))
}

// Delay counts one call and returns the time after which it may be hedged. It
// is false until the class has enough answers.
func (h *Hedger) Delay(class string, now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bucket.earn(hedgeShare, now)
	w := h.window(class, now)
	w.rotate(now)
	w.refresh(now)
	return w.p95, w.p95 > 0
}

func (h *Hedger) take() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bucket.take(1) == 1
}

func (h *Hedger) window(class string, now time.Time) *window {
	if w := h.classes[class]; w != nil {
		return w
	}
	if len(h.classes) >= maxClasses {
		if class = otherClass; h.classes[class] != nil {
			return h.classes[class]
		}
	}
	if h.classes == nil {
		h.classes = make(map[string]*window)
	}
	w := &window{
		WindowedHistogram: hdrhistogram.NewWindowed(sections, 1, int64(longest/unit), digits),
		rotated:           now,
	}
	h.classes[class] = w
	return w
}

// rotate drops the oldest section after its time. A clock that stepped back
// rotates once and goes on from there.
func (w *window) rotate(now time.Time) {
	passed := now.Sub(w.rotated)
	if passed >= 0 && passed < sectionTime {
		return
	}
	for range min(max(int(passed/sectionTime), 1), sections) {
		w.Rotate()
	}
	w.rotated = now
}

// refresh computes the p95 at most once a second, since merging the sections
// costs some microseconds.
func (w *window) refresh(now time.Time) {
	if passed := now.Sub(w.refreshed); w.samples < minSamples || passed >= 0 && passed < refreshTime {
		return
	}
	w.refreshed = now
	merged := w.Merge()
	if merged.TotalCount() < minSamples {
		w.p95 = 0
		return
	}
	w.p95 = max(time.Duration(merged.ValueAtQuantile(95))*unit, unit)
}
