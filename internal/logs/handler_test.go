package logs

import (
	"bytes"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"gotest.tools/v3/assert"
)

// blockedWriter takes nothing until it is released.
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

// Guards against a request that waits for its log line: the test hangs if the
// handler does.
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

// Guards against a volume without bound, and against debug lines that crowd out
// warnings.
func TestHandlerBoundsTheRate(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	h := New(w, 10)
	logger := &log.Logger{Handler: h, Level: log.DebugLevel}
	for range 1000 {
		logger.Debug("debug")
	}
	left := h.dropped.Load()
	assert.Assert(t, left >= 900 && left < 1000, "%d of 1000 lines were left out", left)
	for strings.Count(w.text(), "debug") < 10 {
		runtime.Gosched()
	}
}
