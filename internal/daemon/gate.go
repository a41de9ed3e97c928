package daemon

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/admission"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	// maxPause bounds how long a server that sheds load gets no requests.
	maxPause = 5 * time.Second
	// defaultPause is used when the server sends no Retry-After.
	defaultPause = 100 * time.Millisecond
)

// gate admits requests to the slots of the backend server and queues them.
type gate struct {
	queue admission.Queue
	mu    sync.Mutex
	// runTime measures the server's run time for the load that answers carry.
	runTime routing.RunTimeMeter
	// rulesVersion is the configuration version whose rules are in force.
	rulesVersion config.Version
	service      string
}

// waiter receives nil when a queued request may run, or the error that ends its wait.
type waiter chan error

// enter waits for a slot. leave must be called once; ran is set if the duration counts
// as a service time.
func (g *gate) enter(ctx context.Context, r call.Request) (leave func(ran bool), err error) {
	w := make(waiter, 1)
	now := time.Now()
	entry, decision := g.queue.Enter(admission.Request{
		Class: r.Class, Tenant: r.Tenant, Deadline: r.Deadline, Waiter: w,
	}, now)
	if decision.Evicted.Valid() {
		wake(decision.Evicted, fault.New(fault.KindOverloaded, "evicted from the queue by a request of higher priority"))
	}
	switch decision.Verdict {
	case admission.Start:
	case admission.Wait:
		if err := g.wait(ctx, entry, w); err != nil {
			return nil, err
		}
	default:
		return nil, decision.Err()
	}
	return g.begin(entry), nil
}

// begin counts a request that has a slot, and returns the function that ends it.
func (g *gate) begin(entry admission.Entry) (leave func(ran bool)) {
	start := time.Now()
	g.mu.Lock()
	g.runTime.Start(start)
	g.mu.Unlock()
	return func(ran bool) {
		now := time.Now()
		g.mu.Lock()
		g.runTime.End(now.Sub(start), ran, now)
		g.mu.Unlock()
		g.leave(entry, ran)
	}
}

func (g *gate) wait(ctx context.Context, entry admission.Entry, w waiter) error {
	select {
	case err := <-w:
		return err
	case <-ctx.Done():
		g.leave(entry, false)
		return fault.New(fault.KindDeadline, "the request waited for a slot until its deadline or until its caller disconnected").
			WithOutcome(fault.Refused)
	}
}

func (g *gate) leave(entry admission.Entry, ran bool) {
	now := time.Now()
	var buf [4]admission.Entry
	var started []admission.Entry
	if ran {
		started = g.queue.Leave(entry, now, buf[:0])
	} else {
		started = g.queue.Cancel(entry, now, buf[:0])
	}
	for _, e := range started {
		wake(e, nil)
	}
}

// tick starts or expires queued requests.
func (g *gate) tick(now time.Time) {
	run, expired := g.queue.Tick(now, nil, nil)
	for _, e := range run {
		wake(e, nil)
	}
	for _, e := range expired {
		wake(e, fault.New(fault.KindDeadline, "no slot became free before the deadline").WithOutcome(fault.Refused))
	}
}

func wake(e admission.Entry, err error) {
	if w, ok := e.Waiter.(waiter); ok {
		w <- err
	}
}

// observeAnswer pauses admission if the answer shows that the server sheds load.
func (g *gate) observeAnswer(answer *call.Answer, now time.Time) {
	if answer.Status != http.StatusServiceUnavailable {
		return
	}
	pause := defaultPause
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		pause = min(time.Duration(seconds)*time.Second, maxPause)
	}
	g.queue.Pause(pause, now)
}

// update applies the announced server and the configuration.
func (g *gate) update(server announcement, id string, current *config.Snapshot) {
	service := current.Document.Services[server.Service]
	slots := server.Slots
	if override := service.Servers[id].Slots; override > 0 {
		slots = override
	}
	if slots > 0 {
		g.queue.SetSlots(slots)
	}
	if g.rulesVersion == current.Version && g.service == server.Service {
		return
	}
	g.rulesVersion, g.service = current.Version, server.Service
	rules := admission.Rules{Queue: service.QueueLength()}
	if rules.Queue == 0 {
		rules.Queue = -1
	}
	for name, class := range current.Document.Classes {
		rules = rules.WithLevel(name, level(class.Priority))
	}
	for name, tenant := range current.Document.Tenants {
		rules = rules.WithWeight(name, max(tenant.Weight, 1))
	}
	g.queue.SetRules(rules)
}

// level maps a configured priority, 0 to 15 and lower first, to a level.
func level(priority int) admission.Level {
	switch {
	case priority < 5:
		return admission.Urgent
	case priority < 10:
		return admission.Normal
	default:
		return admission.Background
	}
}

func (g *gate) load() call.Load {
	now := time.Now()
	l := g.queue.Load(now)
	g.mu.Lock()
	latency := g.runTime.Latency(now)
	g.mu.Unlock()
	return call.Load{InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Latency: latency, Draining: l.Refusing}
}
