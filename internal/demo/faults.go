package demo

import (
	"context"
	"fmt"

	"github.com/vanillasail/vanillasail/internal/clock"
)

const slowFactor = 10

// injectFaults injects one fault after another, at equal intervals, while callers send
// requests.
func (s *cluster) injectFaults(ctx context.Context) {
	interval := s.Time / 6
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
		if !clock.Sleep(ctx, interval) {
			return
		}
		fmt.Fprintln(s.Out, "fault:", step.name)
		step.do()
	}
}

// stopNode makes the callers stop using a node, as before a host is replaced, and
// starts its graceful shutdown.
func (s *cluster) stopNode(ctx context.Context, i int) {
	if i >= len(s.nodes) {
		return
	}
	s.load.Avoid(s.nodes[i].CallerAddr())
	go s.nodes[i].Stop(context.WithoutCancel(ctx))
}
