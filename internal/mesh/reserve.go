package mesh

import (
	"context"
	"io"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// ticketLifetime is how long a slot is reserved for a body: 300 KB take 250 ms on
// the slowest links, 10 Mbit/s.
const ticketLifetime = 500 * time.Millisecond

// reservation is a slot that is reserved for a request whose body follows.
type reservation struct {
	run *slots.Run
	// ended is closed when the ticket becomes invalid.
	ended chan struct{}
}

// ticketHold is the body of the answer to a reservation. It has no content and ends with
// the ticket, so that the slot becomes free when the sender cancels the answer.
type ticketHold struct {
	proxy  *serverProxy
	ticket uint64
	// id is that of the request.
	id string
	// ended and canceled are closed when the ticket becomes invalid, and when the sender
	// no longer needs it.
	ended, canceled <-chan struct{}
}

// Read implements io.Reader.
func (h *ticketHold) Read([]byte) (int, error) {
	select {
	case <-h.ended:
	case <-h.canceled:
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (h *ticketHold) Close() error {
	h.proxy.giveBack(h.ticket, h.id)
	return nil
}

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
		p.tickets = make(map[uint64]reservation)
	}
	ended := make(chan struct{})
	p.tickets[ticket] = reservation{run: run, ended: ended}
	p.mu.Unlock()
	time.AfterFunc(ticketLifetime, func() { p.giveBack(ticket, r.ID) })
	hold := &ticketHold{proxy: p, ticket: ticket, id: r.ID, ended: ended, canceled: ctx.Done()}
	return sendResult{ticket: ticket, hold: hold, load: p.load()}
}

// giveBack frees the slot of a ticket that was not redeemed.
func (p *serverProxy) giveBack(ticket uint64, id string) {
	if run := p.redeem(ticket); run != nil {
		p.Log.WithField("id", id).WithField("ticket", ticket).Debug("no body came for a reserved slot")
		p.release(run)
	}
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
	r, valid := p.tickets[ticket]
	if !valid {
		return nil
	}
	delete(p.tickets, ticket)
	close(r.ended)
	return r.run
}
