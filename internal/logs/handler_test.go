package logs

import (
	"bytes"
	"errors"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

// blockedWriter blocks all writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.String()
}

// Guards against a handler that makes requests wait until their log lines are written.
// The test hangs if it does.
func TestHandlerNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	h := New(w, 1e6)
	logger := &log.Logger{Handler: h, Level: log.DebugLevel}
	for range 3 * queueLength {
		logger.Debug("x")
	}
	assert.Assert(t, h.dropped.Load() > 0)
	close(w.release)
}

// Guards against an unlimited rate of log lines, and against warnings that are dropped
// because of many debug lines.
func TestHandlerLimitsRate(t *testing.T) {
	for name, c := range map[string]struct {
		write func(l *log.Logger)
		lines int
	}{
		"debug":    {func(l *log.Logger) { l.Debug("line") }, 10 * burstSeconds},
		"warnings": {func(l *log.Logger) { l.Warn("line") }, 4 * 10 * burstSeconds},
	} {
		t.Run(name, func(t *testing.T) {
			w := &blockedWriter{release: make(chan struct{})}
			h := New(w, 10)
			fixed := time.Now()
			h.now = func() time.Time { return fixed }
			logger := &log.Logger{Handler: h, Level: log.DebugLevel}
			for range 1000 {
				c.write(logger)
			}
			// The writer is blocked with at most one line, so it has not reported any
			// dropped lines yet.
			assert.Equal(t, h.dropped.Load(), int64(1000-c.lines))
			close(w.release)
			for strings.Count(w.text(), "message=line") < c.lines {
				runtime.Gosched()
			}
		})
	}
}

// Guards against values of callers, servers and other writers that forge a log line.
func TestValuesStayInTheirLine(t *testing.T) {
	for name, value := range map[string]string{
		"line feed": "i-1\nlevel=error message=forged", "carriage": "i-1\r\nlevel=error message=forged",
		"quote": `i-1" level=error message="forged`, "escape": "i-1\x1b[2J", "not UTF-8": "i-1\xff\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := &blockedWriter{release: make(chan struct{})}
			close(w.release)
			h := New(w, 100)
			(&log.Logger{Handler: h, Level: log.DebugLevel}).WithField("server", value).WithError(errors.New(value)).Info("event")
			for !strings.Contains(w.text(), "\n") {
				runtime.Gosched()
			}
			assert.Equal(t, strings.Count(w.text(), "\n"), 1, "%q", w.text())
			assert.Assert(t, !strings.ContainsAny(w.text(), "\r\x1b"), "%q", w.text())
		})
	}
}
