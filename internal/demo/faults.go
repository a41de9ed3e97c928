package demo

import (
	"context"
	"fmt"

	"github.com/vanillasail/vanillasail/internal/clock"
)

const slowFactor = 10

// faults injects one fault after another while callers send requests.
func (s *system) faults(ctx context.Context) {
	part := s.Time / 6
	steps := []struct {
		name string
		do   func()
	}{
		{"n0: its backend server becomes 10 times slower", func() { s.servers[0].SetFault("slow", slowFactor) }},
		{"n0: its backend server is back to normal", func() { s.servers[0].SetFault("slow", 0) }},
		{"n1: its backend server drains", func() { s.servers[1].Drain() }},
		{"n2: its backend server crashes", func() { s.servers[2].Kill() }},
		{"n3: the node stops gracefully", func() { s.stopNode(ctx, 3) }},
	}
	for _, step := range steps {
		if !clock.Sleep(ctx, part) {
			return
		}
		fmt.Fprintln(s.Out, "fault:", step.name)
		step.do()
	}
}

// stopNode moves callers away from a node that stops, as a host replacement
// does, and waits for its end.
func (s *system) stopNode(ctx context.Context, i int) {
	if i >= len(s.nodes) {
		return
	}
	s.load.Avoid(s.nodes[i].CallerAddr())
	go s.nodes[i].Stop(context.WithoutCancel(ctx))
}
