package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// gate admits requests to the backend server's slots.
type gate struct {
	mu      sync.Mutex
	slots   int
	running int
	latency time.Duration
}

func (g *gate) setSlots(n int) {
	g.mu.Lock()
	g.slots = n
	g.mu.Unlock()
}

func (g *gate) enter(_ context.Context, _ call.Request) (leave func(time.Duration, bool), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running >= 4*g.slots {
		return nil, fault.New(fault.KindOverloaded, "all %d slots and the queue are in use", g.slots)
	}
	g.running++
	return g.leave, nil
}

func (g *gate) leave(took time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if ok {
		g.latency += (took - g.latency) / 8
	}
}

func (g *gate) answered(*call.Answer, time.Time) {}

func (g *gate) load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: min(g.running, g.slots), Queued: max(0, g.running-g.slots), Slots: g.slots, Latency: g.latency}
}
