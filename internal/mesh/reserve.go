package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// ticketTime is how long a slot is kept for a body: 300 KB take 250 ms on the
// slowest links, 10 Mbit/s.
const ticketTime = 500 * time.Millisecond

// reserve keeps a slot for a request whose body follows. It waits or refuses as
// serve does.
func (f *far) reserve(ctx context.Context, r call.Request) outcome {
	run, err := f.enter(ctx, r)
	if err != nil {
		return outcome{err: err, load: f.load()}
	}
	f.mu.Lock()
	f.lastTicket++
	ticket := f.lastTicket
	if f.tickets == nil {
		f.tickets = make(map[uint64]*slots.Run)
	}
	f.tickets[ticket] = run
	f.mu.Unlock()
	time.AfterFunc(ticketTime, func() {
		if run := f.redeem(ticket); run != nil {
			f.Log.WithField("id", r.ID).WithField("ticket", ticket).Debug("no body came for a reserved slot")
			f.giveBack(run)
		}
	})
	return outcome{ticket: ticket, load: f.load()}
}

// awaitPace lets a run begin whose body has come: the pace may have changed since
// the slot was reserved.
func (f *far) awaitPace(ctx context.Context, run *slots.Run) {
	for ctx.Err() == nil {
		f.mu.Lock()
		unsure := f.gate.Slowdown.Stale(time.Now())
		f.mu.Unlock()
		if unsure {
			f.freshen(ctx)
		}
		f.mu.Lock()
		begun := f.gate.Begin(run, time.Now())
		f.mu.Unlock()
		if begun {
			return
		}
		clock.Sleep(ctx, slots.ProbeInterval/2)
	}
}

// redeem returns the run of a ticket, once; nil means that there is none any more.
func (f *far) redeem(ticket uint64) *slots.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := f.tickets[ticket]
	delete(f.tickets, ticket)
	return run
}
