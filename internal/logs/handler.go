// Package logs writes log lines without holding up the work that they tell of.
package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Handler writes one logfmt line for each entry. A writer goroutine takes the
// lines; what exceeds the rate or finds the queue full is counted and reported
// in a line of its own.
type Handler struct {
	lines chan []byte
	// left out since the last report.
	dropped atomic.Int64

	mu     sync.Mutex
	buf    bytes.Buffer
	inner  *logfmt.Handler
	tokens float64
	filled time.Time
	rate   float64
	// now is the clock of the rate.
	now func() time.Time
}

const (
	// queueLength bounds the lines that wait for the writer.
	queueLength = 1024
	// burstSeconds is how many seconds of the rate may come at once.
	burstSeconds = 4
	// reportInterval is how often the number of lines that were left out is told.
	reportInterval = time.Second
)

// New returns a handler that writes at most rate lines a second to w. Lines of
// level info and above count at a quarter, so that they outlast the others.
func New(w io.Writer, rate float64) *Handler {
	h := &Handler{lines: make(chan []byte, queueLength), rate: rate, tokens: rate * burstSeconds, filled: time.Now(), now: time.Now}
	h.inner = logfmt.New(&h.buf)
	go h.write(w)
	return h
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.allow(e.Level) {
		h.dropped.Add(1)
		return nil
	}
	h.buf.Reset()
	if err := h.inner.HandleLog(e); err != nil {
		return err
	}
	select {
	case h.lines <- bytes.Clone(h.buf.Bytes()):
	default:
		h.dropped.Add(1)
	}
	return nil
}

func (h *Handler) allow(level log.Level) bool {
	now := h.now()
	h.tokens = min(h.tokens+now.Sub(h.filled).Seconds()*h.rate, h.rate*burstSeconds)
	h.filled = now
	cost := 1.0
	if level >= log.InfoLevel {
		cost = 0.25
	}
	if h.tokens < cost {
		return false
	}
	h.tokens -= cost
	return true
}

func (h *Handler) write(w io.Writer) {
	var reported time.Time
	for line := range h.lines {
		_, _ = w.Write(line) // there is no other place to report a failed write
		if time.Since(reported) < reportInterval {
			continue
		}
		if n := h.dropped.Swap(0); n > 0 {
			reported = time.Now()
			(&log.Logger{Handler: h, Level: log.InfoLevel}).WithField("lines", n).Warn("log lines left out")
		}
	}
}
