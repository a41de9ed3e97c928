// Package logs writes log lines without blocking the goroutines that log.
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

// Handler writes one logfmt line for each entry. The lines are queued for a writer
// goroutine. Lines that exceed the rate or do not fit into the queue are dropped, and
// their number is logged.
type Handler struct {
	lines chan []byte
	// dropped is the number of lines dropped since the last report.
	dropped atomic.Int64

	mu        sync.Mutex
	buf       bytes.Buffer
	formatter *logfmt.Handler
	tokens    float64
	refilled  time.Time
	rate      float64
	// now returns the time for the rate limit.
	now func() time.Time
}

const (
	// queueLength is the largest number of lines that wait for the writer.
	queueLength = 1024
	// burstSeconds is the time in seconds in which the rate fills the token bucket.
	burstSeconds = 4
	// reportInterval is the shortest time between reports of dropped lines.
	reportInterval = time.Second
)

// New returns a handler that writes at most rate debug lines per second to w. Lines of
// level info and above take a quarter of a token, so that debug lines are dropped
// first.
func New(w io.Writer, rate float64) *Handler {
	h := &Handler{lines: make(chan []byte, queueLength), rate: rate, tokens: rate * burstSeconds, refilled: time.Now(), now: time.Now}
	h.formatter = logfmt.New(&h.buf)
	go h.writeLines(w)
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
	if err := h.formatter.HandleLog(e); err != nil {
		return err
	}
	select {
	case h.lines <- bytes.Clone(h.buf.Bytes()):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// allow takes tokens for one line and reports whether there were enough.
func (h *Handler) allow(level log.Level) bool {
	now := h.now()
	h.tokens = min(h.tokens+now.Sub(h.refilled).Seconds()*h.rate, h.rate*burstSeconds)
	h.refilled = now
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

// writeLines writes the queued lines, and between them reports of dropped lines.
func (h *Handler) writeLines(w io.Writer) {
	var reported time.Time
	for line := range h.lines {
		_, _ = w.Write(line) // an error cannot be reported, since the log is the only output
		if time.Since(reported) < reportInterval {
			continue
		}
		if n := h.dropped.Swap(0); n > 0 {
			reported = time.Now()
			(&log.Logger{Handler: h, Level: log.InfoLevel}).WithField("lines", n).Warn("log lines left out")
		}
	}
}
