package metrics

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/budget"
)

// Guards against a history that exceeds its memory bound if many labels have
// requests. In the largest planned deployment, each of 710 nodes serves 87,000 / 710 =
// 123 requests per second. With eight times as many, the history reaches its bound in
// bytes before the retention of an hour.
func TestHistoryIsBounded(t *testing.T) {
	const seed, rate, labels, intervals = 7, 8 * 123, 250, 150
	t.Logf("seed %d", seed)
	var r Registry
	var limits budget.Limiter
	h := History{Registry: &r, Limits: &limits}
	requests := make([]call.Request, labels)
	for i := range requests {
		requests[i] = request(fmt.Sprint("s", i/50), fmt.Sprint("t", i))
	}
	random := rand.New(rand.NewPCG(seed, 0))
	now := time.Now()
	var before, after runtime.MemStats
	for i := range intervals {
		h.Tick(now, 1)
		for n := range int(flushInterval.Seconds()) * rate {
			latency := time.Duration(3e6 * math.Exp(random.NormFloat64()))
			r.Answered(requests[n%labels], 200, nil, latency)
		}
		now = now.Add(flushInterval)
		if i == 0 {
			runtime.GC()
			runtime.ReadMemStats(&before)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	t.Logf("%d intervals, estimated %d KB, measured %d KB", len(h.intervals), h.size>>10, grown>>10)
	assert.Assert(t, h.size <= maxHistoryBytes)
	assert.Assert(t, len(h.intervals) < intervals-1, "the bound was not reached")
	assert.Assert(t, grown < maxHistoryBytes*5/4, "the estimate of the size is too low: %d bytes", grown)
	runtime.KeepAlive(&h)
}
