package evidence

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Guards against a late End that changes the decision which took the place of
// an overwritten one, and against a ring that forgets too early.
func TestRingKeepsTheNewestDecisions(t *testing.T) {
	var r Ring
	first := r.Begin(Decision{Request: "first"})
	for i := range Kept {
		r.Begin(Decision{Request: fmt.Sprint(i)})
	}
	r.End(first, Failed, "", time.Second)
	r.End(0, Failed, "", time.Second)
	all := r.Recent(2*Kept, nil)
	assert.Equal(t, len(all), Kept)
	assert.Equal(t, all[0].Request, fmt.Sprint(Kept-1))
	assert.Equal(t, all[Kept-1].Request, "0")
	for _, d := range all {
		assert.Equal(t, d.Result, Running, d.Request)
	}
}

// Guards against decisions that are lost or torn when requests run at once.
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
	done := r.Recent(Kept, func(d *Decision) bool { return d.Result == Answered && d.Choice.N == 1 })
	assert.Equal(t, len(done), 1600)
}

// Guards against a record of a decision that allocates on the request path.
func TestRecordingDoesNotAllocate(t *testing.T) {
	var r Ring
	r.Begin(Decision{})
	d := Decision{Request: "id", Service: "stock"}
	assert.Equal(t, testing.AllocsPerRun(100, func() { r.End(r.Begin(d), Answered, "", time.Millisecond) }), 0.0)
}

func BenchmarkRingRecord(b *testing.B) {
	var r Ring
	d := Decision{Request: "id", Service: "stock"}
	b.ReportAllocs()
	for b.Loop() {
		r.End(r.Begin(d), Answered, "", time.Millisecond)
	}
}
