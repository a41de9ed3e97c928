package wire

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pooled buffer that grows with each short message whose length
// field announces a long string.
func TestOversizedStringsDoNotGrowTheBuffer(t *testing.T) {
	for range 40 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var text string
		err := Unmarshal([]byte("\xdb\xff\xff\xff\xff"), &text)
		runtime.ReadMemStats(&after)
		assert.Assert(t, err != nil)
		n := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, n < 4<<20, "%d bytes", n)
	}
}

// Guards against a malformed message that ends the process with a panic.
func TestNilTimeIsAnError(t *testing.T) {
	var decision struct{ Time time.Time }
	err := Unmarshal([]byte("\x81\xa4Time\xc0"), &decision)
	assert.ErrorContains(t, err, "decode message: reflect")
}
