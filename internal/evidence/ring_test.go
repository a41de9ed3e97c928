package evidence

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Guards against a late End that modifies the decision in a reused entry, and
// against decisions that are dropped before the ring is full.
func TestRingKeepsTheNewestDecisions(t *testing.T) {
	var r Ring
	first := r.Begin(Decision{Request: "first"})
	for i := range RingSize {
		r.Begin(Decision{Request: fmt.Sprint(i)})
	}
	r.End(first, Failed, "", time.Second)
	r.End(0, Failed, "", time.Second)
	all := r.Recent(2*RingSize, nil)
	assert.Equal(t, len(all), RingSize)
	assert.Equal(t, all[0].Request, fmt.Sprint(RingSize-1))
	assert.Equal(t, all[RingSize-1].Request, "0")
	for _, d := range all {
		assert.Equal(t, d.Result, Running, d.Request)
	}
}

// Guards against decisions that are lost or corrupted by concurrent requests.
func TestRingIsSafeForConcurrentUse(t *testing.T) {
	var r Ring
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 200 {
				r.End(r.Begin(Decision{Request: "x", Choice: routing.Choice{N: 1}}), Answered, "", time.Millisecond)
			}
		})
	}
	group.Wait()
	done := r.Recent(RingSize, func(d *Decision) bool { return d.Result == Answered && d.Choice.N == 1 })
	assert.Equal(t, len(done), 1600)
}

// Guards against heap allocations on the request path.
func TestRecordingDoesNotAllocate(t *testing.T) {
	var r Ring
	r.Begin(Decision{})
	d := Decision{Request: "id", Service: "stock"}
	assert.Equal(t, testing.AllocsPerRun(100, func() { r.End(r.Begin(d), Answered, "", time.Millisecond) }), 0.0)
}

// Guards against decisions that keep the whole URIs of their requests, of up to
// 64 KB each, in memory.
func TestRingDoesNotRetainRequestURIs(t *testing.T) {
	var r Ring
	r.Begin(Decision{})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range RingSize {
		path := fmt.Sprint("stock", i) + strings.Repeat("/long", 4096)
		r.Begin(Decision{Service: path[:5+i%2], Class: path[:9], Tenant: path})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	grown := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	assert.Assert(t, grown < 2<<20, "%d bytes", grown)
	assert.Equal(t, len(r.names), maxNames)
	assert.Equal(t, r.Recent(1, nil)[0].Class, "stock4095")
}

func BenchmarkRingRecord(b *testing.B) {
	var r Ring
	d := Decision{Request: "id", Service: "stock"}
	b.ReportAllocs()
	for b.Loop() {
		r.End(r.Begin(d), Answered, "", time.Millisecond)
	}
}
