package mesh

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/uplink"
)

func newServerProxy(slots int) *serverProxy {
	p := &serverProxy{Options: &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}, changed: func() {}, uplink: &uplink.Link{}, sizes: &answerSizes{}}
	p.report(roster.Report{ID: "i1", State: roster.Ready, Slots: slots, Seq: 1})
	return p
}

// Guards against a slot that stays reserved although the body never arrives, a ticket
// that two requests redeem, and reservations beyond the number of slots.
func TestReservedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newServerProxy(1)
		r := call.Request{ID: "a", Service: "s", Route: "r", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second)}
		first := p.reserve(t.Context(), r)
		assert.Assert(t, first.err == nil && first.ticket != 0)
		second := p.reserve(t.Context(), r)
		assert.Equal(t, second.err.Kind, fault.KindHandedBack)
		assert.Equal(t, second.err.Outcome, fault.Refused)
		time.Sleep(ticketLifetime + time.Millisecond)
		assert.Equal(t, p.load().InFlight, 0)
		assert.Assert(t, p.redeem(first.ticket) == nil)

		third := p.reserve(t.Context(), r)
		assert.Assert(t, p.redeem(third.ticket) != nil)
		_, err := third.hold.Read(nil)
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, third.hold.Close())
		assert.Assert(t, p.redeem(third.ticket) == nil)
		time.Sleep(2 * ticketLifetime)
		assert.Equal(t, p.load().InFlight, 1)
	})
}

// Guards against a slot that stays reserved after the sender has canceled the reservation.
func TestCanceledReservationFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{Options: Options{Node: "n1", Service: "s", Fresh: true, Log: &log.Logger{Handler: discard.New()}}}
		n.assemble()
		n.serverProxy.report(roster.Report{ID: "i1", State: roster.Ready, Slots: 1, Seq: 1})
		head, err := encode(message{Reserve: &call.Request{Service: "s", Timeout: time.Second, ObjectiveTimeout: time.Second}})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		reply := n.answer(ctx, peer.Incoming{Head: head})
		assert.Equal(t, n.serverProxy.load().InFlight, 1)
		canceled := time.Now()
		cancel()
		_, err = reply.Rest.Read(nil)
		assert.Equal(t, err, io.EOF)
		assert.NilError(t, reply.Rest.Close())
		assert.Equal(t, n.serverProxy.load().InFlight, 0)
		assert.Equal(t, time.Since(canceled), time.Duration(0))
	})
}
