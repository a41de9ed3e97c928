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
	// defaultPause is used when the server sends no Retry-After, or one that is not a
	// number of seconds.
	defaultPause = 100 * time.Millisecond
)

// admissionController admits requests to the slots of the backend server, and queues
// those that have to wait for a slot.
type admissionController struct {
	queue admission.Queue
	// mu protects runTime. The fields below runTime belong to the tick loop.
	mu sync.Mutex
	// runTime measures the run times of requests at the server; answers report them as
	// the latency of the server's load.
	runTime routing.RunTimeMeter
	// rulesVersion is the configuration version whose rules are in force.
	rulesVersion config.Version
	service      string
}

// waiter receives nil when a queued request may run, or the error that ends its wait.
type waiter chan error

// enter waits for a slot. leave must be called once; ran is true if the server answered
// completely, so that the duration counts as a service time.
func (a *admissionController) enter(ctx context.Context, r call.Request) (leave func(ran bool), err error) {
	w := make(waiter, 1)
	now := time.Now()
	entry, decision := a.queue.Enter(admission.Request{
		Class: r.Class, Tenant: r.Tenant, Deadline: r.Deadline, Waiter: w,
	}, now)
	if decision.Evicted.Valid() {
		wake(decision.Evicted, fault.New(fault.KindOverloaded, "evicted from the queue by a request of higher priority"))
	}
	switch decision.Verdict {
	case admission.Start:
	case admission.Wait:
		if err := a.wait(ctx, entry, w); err != nil {
			return nil, err
		}
	default:
		return nil, decision.Err()
	}
	return a.begin(entry), nil
}

// begin starts the time measurement of a request that has a slot, and returns the
// function that ends it and frees the slot.
func (a *admissionController) begin(entry admission.Entry) (leave func(ran bool)) {
	start := time.Now()
	a.mu.Lock()
	a.runTime.Start(start)
	a.mu.Unlock()
	return func(ran bool) {
		now := time.Now()
		a.mu.Lock()
		a.runTime.End(now.Sub(start), ran, now)
		a.mu.Unlock()
		a.leave(entry, ran)
	}
}

func (a *admissionController) wait(ctx context.Context, entry admission.Entry, w waiter) error {
	select {
	case err := <-w:
		return err
	case <-ctx.Done():
		a.leave(entry, false)
		return fault.New(fault.KindDeadline, "the request waited for a slot until its deadline or until its caller disconnected").
			WithOutcome(fault.Refused)
	}
}

// leave frees the slot or the place in the queue, and starts the requests that get the
// freed slots.
func (a *admissionController) leave(entry admission.Entry, ran bool) {
	now := time.Now()
	var buf [4]admission.Entry
	var started []admission.Entry
	if ran {
		started = a.queue.Leave(entry, now, buf[:0])
	} else {
		started = a.queue.Cancel(entry, now, buf[:0])
	}
	for _, e := range started {
		wake(e, nil)
	}
}

// tick starts the queued requests for which slots have become usable, and ends those
// whose deadline has passed.
func (a *admissionController) tick(now time.Time) {
	run, expired := a.queue.Tick(now, nil, nil)
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

// observeAnswer pauses admission if the answer has status 503: the server sheds load.
func (a *admissionController) observeAnswer(answer *call.Answer, now time.Time) {
	if answer.Status != http.StatusServiceUnavailable {
		return
	}
	pause := defaultPause
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		pause = min(time.Duration(seconds)*time.Second, maxPause)
	}
	a.queue.Pause(pause, now)
}

// update sets the number of slots, which the server announces and the configuration can
// override, and the configured rules of the queue.
func (a *admissionController) update(server announcement, id string, current *config.Snapshot) {
	service := current.Document.Services[server.Service]
	slots := server.Slots
	if override := service.Servers[id].Slots; override > 0 {
		slots = override
	}
	if slots > 0 {
		a.queue.SetSlots(slots)
	}
	if a.rulesVersion == current.Version && a.service == server.Service {
		return
	}
	a.rulesVersion, a.service = current.Version, server.Service
	rules := admission.Rules{Queue: service.QueueLength()}
	if rules.Queue == 0 {
		rules.Queue = -1 // no queue; zero would mean the default length
	}
	for name, class := range current.Document.Classes {
		rules = rules.WithLevel(name, level(class.Priority))
	}
	for name, tenant := range current.Document.Tenants {
		rules = rules.WithWeight(name, max(tenant.Weight, 1))
	}
	a.queue.SetRules(rules)
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

func (a *admissionController) load() call.Load {
	now := time.Now()
	l := a.queue.Load(now)
	a.mu.Lock()
	latency := a.runTime.Latency(now)
	a.mu.Unlock()
	return call.Load{InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Latency: latency, Draining: l.Refusing}
}
