package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/once"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// The target has 23 services with 31 servers each.
const (
	targetServices = 23
	targetServers  = 31
)

// answerBytes is the size of a recorded answer. The answers of the largest number of
// records together stay within the bound on the bytes of answers.
const answerBytes = 200

// BenchmarkOnceRecords measures the memory of finished at-most-once records.
func BenchmarkOnceRecords(b *testing.B) {
	for name, answer := range map[string]int{"without answer": 0, "with answer": answerBytes} {
		b.Run(name, func(b *testing.B) {
			report(b, "B/record", []int{1000, 5000, 10000, 20000}, func(b *testing.B, n int) float64 {
				return memoryGrowth(func() any { return must(finishedRecords(n, answer))(b) })
			})
		})
	}
}

func finishedRecords(n, answer int) (*once.RecordStore, error) {
	self := once.Ref{ID: "n0", Incarnation: 1}
	k, now := &once.RecordStore{Self: self}, time.Now()
	for i := range once.Shards {
		k.UpdateShard(once.Shard{Service: "stock", Index: i, Epoch: 1, Owner: self}, 0, now)
	}
	for i := range n {
		key := fmt.Sprintf("order-%030d", i)
		record, verdict := k.Begin("stock", key, uint64(i), now)
		if verdict != once.VerdictNew {
			return nil, fmt.Errorf("key %d: verdict %v", i, verdict)
		}
		settled := once.Settlement{Claim: record.Claim, Outcome: once.OutcomeFinished}
		if answer > 0 {
			settled.Answer = make([]byte, answer)
		}
		k.Settle(settled, now)
	}
	if records, answers := k.Size(); records != n || answers != n*answer {
		return nil, fmt.Errorf("%d records with %d bytes of answers", records, answers)
	}
	return k, nil
}

// must returns a function that returns the value, or stops the benchmark if there is
// an error.
func must[T any](value T, err error) func(b *testing.B) T {
	return func(b *testing.B) T {
		b.Helper()
		assert.NilError(b, err)
		return value
	}
}

// BenchmarkMembers measures the memory of the records in the membership table.
func BenchmarkMembers(b *testing.B) {
	report(b, "B/member", []int{10, 100, 300, 710}, func(_ *testing.B, n int) float64 {
		return memoryGrowth(func() any {
			var t member.Table
			for _, m := range members(n) {
				t.Merge(m)
			}
			return &t
		})
	})
}

func nodeID(i int) string { return fmt.Sprintf("node-%04d", i) }

func members(n int) []member.Member {
	all := make([]member.Member, n)
	for i := range all {
		all[i] = member.Member{
			Ref: member.Ref{ID: nodeID(i), Incarnation: uint64(i + 1)}, Addr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Service: fmt.Sprintf("service-%02d", i%targetServices), Region: fmt.Sprintf("r%d", i%2), Domain: fmt.Sprintf("d%d", i%4),
			Slots: 12, Seq: 1,
		}
	}
	return all
}

// BenchmarkRouting measures the memory of services with 31 servers each, and of the
// servers of 23 services. Every server has answered a request and reported its load.
func BenchmarkRouting(b *testing.B) {
	b.Run("services", func(b *testing.B) {
		report(b, "B/service", []int{1, 6, 12, targetServices}, func(b *testing.B, n int) float64 {
			return memoryGrowth(func() any { return must(routes(n, targetServers))(b) })
		})
	})
	b.Run("servers", func(b *testing.B) {
		report(b, "B/server", []int{4 * targetServices, 8 * targetServices, 16 * targetServices, targetServers * targetServices}, func(b *testing.B, n int) float64 {
			return memoryGrowth(func() any { return must(routes(targetServices, n/targetServices))(b) })
		})
	})
}

func routes(services, servers int) (*routing.Table, error) {
	t := &routing.Table{Config: routing.Config{Node: "node-00-00", Region: "r0", Domain: "d0"}}
	now := time.Now()
	for i := range services {
		service := fmt.Sprintf("service-%02d", i)
		for j := range servers {
			t.Upsert(routing.Server{
				ID: fmt.Sprintf("node-%02d-%02d", i, j), Service: service,
				Region: fmt.Sprintf("r%d", j%2), Domain: fmt.Sprintf("d%d", j%4), Slots: 12,
			}, now)
		}
		for range 4 * servers {
			now = now.Add(time.Millisecond)
			choice, ok := t.Pick(routing.Request{Service: service}, now)
			if !ok {
				return nil, fmt.Errorf("service %s has no server", service)
			}
			t.Observe(service, choice.ID, routing.Load{InFlight: 3, Slots: 12, Latency: 10 * time.Millisecond}, now)
			t.Done(service, choice.ID, routing.Answered, 10*time.Millisecond, now)
		}
	}
	t.Tick(now)
	return t, nil
}

// BenchmarkMetricsLabels measures the memory of histograms and counters by label.
func BenchmarkMetricsLabels(b *testing.B) {
	report(b, "B/label", []int{10, 50, 100, 250}, func(_ *testing.B, n int) float64 {
		return memoryGrowth(func() any {
			var r metrics.Registry
			for i := range n {
				q := call.Request{Service: fmt.Sprintf("service-%d", i/50), Class: fmt.Sprintf("c%d", i%5), Tenant: fmt.Sprintf("t%d", i%50/5)}
				for k := range 100 {
					r.Answered(q, 200, nil, time.Duration(1+k*k)*time.Millisecond/10)
				}
			}
			return &r
		})
	})
}

// BenchmarkEvidenceRing measures the memory of recorded decisions. The ring allocates
// all its entries with the first decision, so the slope is the memory of the request
// IDs.
func BenchmarkEvidenceRing(b *testing.B) {
	report(b, "B/decision", []int{1, 1024, 2048, evidence.RingSize}, func(_ *testing.B, n int) float64 {
		return memoryGrowth(func() any { return keptDecisions(n) })
	})
}

func keptDecisions(n int) *evidence.Ring {
	var r evidence.Ring
	for i := range n {
		step := r.Begin(evidence.Decision{Request: fmt.Sprintf("%032x", i), Service: "stock", Class: "dispatch", Tenant: "geada", At: time.Now()})
		r.End(step, evidence.Answered, "", time.Millisecond)
	}
	return &r
}
