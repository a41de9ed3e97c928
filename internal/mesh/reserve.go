package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// ticketLifetime is how long a slot is reserved for a body: 300 KB take 250 ms on
// the slowest links, 10 Mbit/s.
const ticketLifetime = 500 * time.Millisecond

// reserve reserves a slot for a request whose body follows. It queues, hands back or
// refuses the request as serve does.
func (p *serverProxy) reserve(ctx context.Context, r call.Request) sendResult {
	run, err := p.enter(ctx, r)
	if err != nil {
		return sendResult{err: err, load: p.load()}
	}
	p.mu.Lock()
	p.lastTicket++
	ticket := p.lastTicket
	if p.tickets == nil {
		p.tickets = make(map[uint64]*slots.Run)
	}
	p.tickets[ticket] = run
	p.mu.Unlock()
	time.AfterFunc(ticketLifetime, func() {
		if run := p.redeem(ticket); run != nil {
			p.Log.WithField("id", r.ID).WithField("ticket", ticket).Debug("no body came for a reserved slot")
			p.release(run)
		}
	})
	return sendResult{ticket: ticket, load: p.load()}
}

// awaitBegin waits until a run whose body has arrived may begin: a slow period may
// have started since the slot was reserved.
func (p *serverProxy) awaitBegin(ctx context.Context, run *slots.Run) {
	for ctx.Err() == nil {
		p.mu.Lock()
		stale := p.limiter.Slowdown.Stale(time.Now())
		p.mu.Unlock()
		if stale {
			p.refreshSlowdown(ctx)
		}
		p.mu.Lock()
		started := p.limiter.Begin(run, time.Now())
		p.mu.Unlock()
		if started {
			return
		}
		clock.Sleep(ctx, slots.ProbeInterval/2)
	}
}

// redeem returns the run of a ticket and invalidates the ticket; nil means that the
// ticket is not valid.
func (p *serverProxy) redeem(ticket uint64) *slots.Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.tickets[ticket]
	delete(p.tickets, ticket)
	return run
}
