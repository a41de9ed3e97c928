package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func BenchmarkEnterLeaveFree(b *testing.B) {
	var q Queue
	b.ReportAllocs()
	for b.Loop() {
		e, _ := q.Enter(Request{Class: "lookup", Tenant: "a"}, start)
		q.Leave(e, start, nil)
	}
}

// fullQueue returns a queue with 12 running and 63 queued entries of 64 tenants.
func fullQueue() (q *Queue, running []Entry, tenants []string) {
	q = &Queue{}
	for i := range 64 {
		tenants = append(tenants, fmt.Sprint("tenant-", i))
	}
	for range DefaultSlots {
		e, _ := q.Enter(Request{Tenant: "first"}, start)
		running = append(running, e)
	}
	for _, tenant := range tenants[1:] {
		q.Enter(Request{Tenant: tenant}, start)
	}
	return q, running, tenants
}

func BenchmarkEnterLeaveQueued64Tenants(b *testing.B) {
	q, running, tenants := fullQueue()
	next := make([]Entry, 0, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Enter(Request{Tenant: tenants[i%64], Deadline: start.Add(time.Hour)}, start)
		next = q.Leave(running[i%DefaultSlots], start, next[:0])
		running[i%DefaultSlots] = next[0]
	}
}

func BenchmarkRefuseFull64Tenants(b *testing.B) {
	q, _, tenants := fullQueue()
	q.Enter(Request{Tenant: tenants[0]}, start)
	b.ReportAllocs()
	for b.Loop() {
		q.Enter(Request{Tenant: tenants[0]}, start)
	}
}

func BenchmarkTick64Queued(b *testing.B) {
	q, _, _ := fullQueue()
	b.ReportAllocs()
	for b.Loop() {
		q.Tick(start, nil, nil)
	}
}

func BenchmarkLoad(b *testing.B) {
	q, _, _ := fullQueue()
	b.ReportAllocs()
	for b.Loop() {
		q.Load(start)
	}
}

// Guards against missing locks and lost wake-ups: every entry that waits is returned
// exactly once.
func TestConcurrentCallersAllRun(t *testing.T) {
	q := &Queue{}
	q.SetRules(Rules{Queue: 1000})
	var group sync.WaitGroup
	for caller := range 200 {
		group.Go(func() {
			ready := make(chan Entry, 1)
			e, d := q.Enter(Request{Tenant: fmt.Sprint(caller % 7), Waiter: ready}, start)
			if d.Verdict == Wait {
				e = <-ready
			}
			for _, next := range q.Leave(e, start, nil) {
				next.Waiter.(chan Entry) <- next
			}
		})
	}
	group.Wait()
	assert.Assert(t, q.Idle())
	assert.Equal(t, q.Stats().Started, uint64(200))
}
