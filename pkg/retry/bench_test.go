package retry

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkGrantPut(b *testing.B) {
	var budget Budget
	b.ReportAllocs()
	for b.Loop() {
		budget.Put("stock", DefaultRatio, budget.Grant("stock", DefaultRatio, start, start))
	}
}

func BenchmarkAttemptAndRetry(b *testing.B) {
	var budget Budget
	b.ReportAllocs()
	for b.Loop() {
		var t Attempts
		t.Start(Allowance{Retries: 2})
		t.Send("a")
		t.Retry(&budget, true, Failed, start)
		t.Send("b")
		t.Answer("b", 0)
	}
}

func BenchmarkAllowancePool12Running(b *testing.B) {
	var pool AllowancePool
	for i := range 11 {
		pool.Add(fmt.Sprint("request-", i), Allowance{})
	}
	b.ReportAllocs()
	for b.Loop() {
		pool.Add("request", Allowance{Retries: 2})
		a, _ := pool.Borrow("request")
		pool.Return("request", a)
		pool.Remove("request")
	}
}

func BenchmarkHedger(b *testing.B) {
	var h Hedger
	rule := HedgeRule{DefaultHedgeRatio, DefaultHedgeAfter}
	b.ReportAllocs()
	for b.Loop() {
		h.Delays("stock", "lookup", rule)
		h.Observe("stock", "lookup", 10*time.Millisecond)
	}
}

func BenchmarkHedgerMemoryOfOneClass(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var h Hedger
		h.Observe("stock", "lookup", time.Millisecond)
	}
}
