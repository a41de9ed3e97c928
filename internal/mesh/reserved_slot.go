package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// reservedSlot is a slot that a node has reserved for a request.
type reservedSlot struct {
	node   roster.Entry
	ticket uint64
	// answer is the answer to the reservation; its body is open until the slot is used
	// or released.
	answer *peer.Answer
}

// release makes the node free the slot, unless it has received the body.
func (s *reservedSlot) release() { _ = s.answer.Body.Close() }

// reserves reports whether a slot is reserved before the body is sent.
func reserves(r call.Request, choice placement.Choice) bool {
	return len(r.Body) >= minReserveBytes && choice.Server.Distance != placement.SameHost
}

// sendBody sends the request to the node that has reserved a slot for it.
func (d *dispatcher) sendBody(ctx context.Context, r call.Request, slot *reservedSlot) sendResult {
	result := d.observe(ctx, slot.node.Node, func(ctx context.Context) sendResult {
		body := r.Body
		r.Body = nil
		m := message{Call: withRemainingTimes(r, time.Now()), Ticket: slot.ticket, Version: d.version()}
		// The answer to the reservation has just shown that its connection works.
		return d.exchange(ctx, slot.node, m, peer.Request{Body: body, AwaitAck: r.Idempotent, KeepOpen: r.Idempotent, After: slot.answer})
	})
	if result.await == nil {
		slot.release()
		return result
	}
	await := result.await
	result.await = func(ctx context.Context) sendResult {
		defer slot.release()
		return await(ctx)
	}
	return result
}
