package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/internal/standin/server"
)

func (s *cluster) printProgress(ctx context.Context) {
	for clock.Sleep(ctx, time.Second) {
		t := s.load.Totals()
		fmt.Fprintf(s.Out, "ran=%d refused=%d unknown=%d\n", t.Ran, t.Refused, t.Unknown)
	}
}

// printReport prints the results and the invariants, and reports whether all
// invariants held.
func (s *cluster) printReport() bool {
	fmt.Fprintln(s.Out)
	s.load.Write(s.Out)
	fmt.Fprintln(s.Out)
	held := true
	for _, check := range s.load.Checks(s.runs()) {
		verdict := "held"
		if check.Violations > 0 {
			verdict, held = fmt.Sprintf("VIOLATED %d times: %v", check.Violations, check.Examples), false
		}
		fmt.Fprintf(s.Out, "%-42s %s\n", check.Name, verdict)
	}
	return held
}

// runs returns the runs in the journals of all backend servers.
func (s *cluster) runs() (all []server.Run) {
	for _, b := range s.servers {
		all = append(all, b.Journal.Runs()...)
	}
	return all
}
