package demo

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

func (s *system) progress(ctx context.Context) {
	for sleep(ctx, time.Second) {
		s.ledger.mu.Lock()
		var ran, refused, unknown int
		for _, t := range s.ledger.classes {
			ran, refused, unknown = ran+t.ran, refused+t.refused, unknown+t.unknown
		}
		s.ledger.mu.Unlock()
		fmt.Fprintf(s.Out, "ran=%d refused=%d unknown=%d\n", ran, refused, unknown)
	}
}

// report prints the closing tables and reports whether every invariant held.
func (s *system) report() bool {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	fmt.Fprintln(s.Out)
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\tran\trefused\tunknown\tdropped\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, name := range slices.Sorted(maps.Keys(s.ledger.classes)) {
		t := s.ledger.classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t\n", name, t.ran, t.refused, t.unknown, t.dropped,
			millis(t.latency.ValueAtPercentile(50)), millis(t.latency.ValueAtPercentile(99)), millis(t.latency.ValueAtPercentile(99.9)))
	}
	_ = w.Flush()
	fmt.Fprintln(s.Out)
	held := true
	for _, check := range s.checks() {
		verdict := "held"
		if check.violations > 0 {
			verdict, held = fmt.Sprintf("VIOLATED %d times", check.violations), false
		}
		fmt.Fprintf(s.Out, "%-62s %s\n", check.name, verdict)
	}
	return held
}

func millis(us int64) float64 { return float64(us) / float64(time.Millisecond/time.Microsecond) }

// check is one invariant and how often it was violated.
type check struct {
	name       string
	violations int
}

func (s *system) checks() []check {
	runs := make(map[string]int)
	refusedRan := 0
	for _, b := range s.servers {
		for _, run := range b.Journal.Runs() {
			if run.Key != "" {
				runs[run.Key]++
			}
			if s.ledger.refusedIDs[run.ID] {
				refusedRan++
			}
		}
	}
	doubled := 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	return []check{
		{"every answer belongs to its request", len(s.ledger.wrong)},
		{"what was refused as not run was not run", refusedRan},
		{"each Idempotency-Key ran at most once", doubled},
		{"no request failed without an answer", s.dropped()},
	}
}

func (s *system) dropped() (n int) {
	for _, t := range s.ledger.classes {
		n += t.dropped
	}
	return n
}
