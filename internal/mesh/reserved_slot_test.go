package mesh

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// reservingNodes is the far side of reservations, which end only by their release. A body
// is answered when the other slots have been released.
type reservingNodes struct{ held, bodies atomic.Int32 }

// heldSlot is the body of the answer to a reservation.
type heldSlot struct {
	io.Reader
	nodes *reservingNodes
}

// Close implements io.Closer.
func (h heldSlot) Close() error {
	h.nodes.held.Add(-1)
	return nil
}

// answer implements peer.Handler.
func (n *reservingNodes) answer(ctx context.Context, in peer.Incoming) peer.Reply {
	m, err := decodeMessage(in.Head)
	head, encodeErr := encode(response{Ticket: 1, Status: 200, Ran: true})
	if m.Reserve == nil || errors.Join(err, encodeErr) != nil {
		n.bodies.Add(1)
		for n.held.Load() > 1 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		return peer.Reply{Head: head}
	}
	n.held.Add(1)
	return peer.Reply{Head: head, Rest: heldSlot{&ticketHold{canceled: ctx.Done()}, n}}
}

// Guards against sending a body to two nodes that acknowledged its reservations late, and
// against slots that stay reserved at the others.
func TestUnusedReservationsAreReleased(t *testing.T) {
	d, nodes := newDispatch(t), &reservingNodes{}
	d.request.Idempotent, d.request.Body = false, make([]byte, 2*minReserveBytes)
	for _, name := range []string{"n1", "n2", "n3"} {
		s := &peer.Server{Handler: nodes.answer}
		assert.NilError(t, s.Listen("127.0.0.1:0"))
		t.Cleanup(s.Close)
		path := &relay.Relay{Target: s.Addr(), Delay: 30 * time.Millisecond}
		assert.NilError(t, path.StartTCP("127.0.0.1:0"))
		t.Cleanup(path.Close)
		e := newEntry(name, 2)
		e.Addr = path.TCPAddr()
		d.directory.roster.Merge(e, epoch)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	answer, err := d.run(ctx)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
	assert.Assert(t, d.sends > 1, "no reservation was late")
	assert.Equal(t, d.reached, 1)
	assert.Equal(t, nodes.bodies.Load(), int32(1))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := nodes.held.Load(); n > 0 {
			return poll.Continue("%d slots are reserved", n)
		}
		return poll.Success()
	})
}

// Guards against using a late reservation after the request has run elsewhere or while it
// may run there, and against counting it as a server that may have the request.
func TestLateReservationReachesNoServer(t *testing.T) {
	released := make(chan struct{}, 2)
	slot := &reservedSlot{answer: &peer.Answer{Body: closeFunc(func() { released <- struct{}{} })}}
	late := sendTo("n1", sendResult{err: fault.New(fault.KindUnreachable, "no acknowledgement").WithOutcome(fault.Refused)})
	late.reserving = true
	late.result.await = func(ctx context.Context) sendResult {
		<-ctx.Done() // the ticket arrives as the reservation is given up
		return sendResult{slot: slot}
	}
	d := newDispatch(t)
	_, done := d.evaluate(t.Context(), late)
	assert.Assert(t, !done && !d.final(t.Context()))
	assert.Assert(t, !d.mayHaveRun())
	assert.Equal(t, d.serversUsed(), 0)
	answer, done := d.evaluate(t.Context(), sendTo("n2", sendResult{ran: true, answer: &call.Answer{Status: 500}}))
	assert.Assert(t, done, "the empty resend window allows another run")
	assert.Equal(t, answer.Status, 500)
	d.open.cancelAll()
	<-released

	d.waiting, d.reserving = true, true
	d.serverReached(true)
	assert.Assert(t, !d.waiting, "the result of a canceled reservation is awaited")

	d.waiting, d.reserving = true, false
	_, ok := d.useSlot(t.Context(), send{late: true, result: sendResult{slot: slot}})
	assert.Assert(t, !ok && len(released) == 1)
}

// closeFunc is an empty body.
type closeFunc func()

// Read implements io.Reader.
func (closeFunc) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (f closeFunc) Close() error {
	f()
	return nil
}
