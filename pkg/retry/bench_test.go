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

func BenchmarkLedger12Running(b *testing.B) {
	var l AllowancePool
	for i := range 11 {
		l.Add(fmt.Sprint("request-", i), Allowance{})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Add("request", Allowance{Retries: 2})
		a, _ := l.Borrow("request")
		l.Return("request", a)
		l.Remove("request")
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
