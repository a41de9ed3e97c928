package mesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

func newFar(slots int) *far {
	f := &far{Options: &Options{Node: "n1", Service: "s", Log: &log.Logger{Handler: discard.New()}}, changed: func() {}}
	f.report(roster.Report{ID: "i1", State: roster.Ready, Slots: slots, Seq: 1})
	return f
}

// Guards against a slot that stays taken because the body never comes, one that is
// given to two requests, and a reservation that goes beyond the slots.
func TestReservedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFar(1)
		r := call.Request{ID: "a", Service: "s", Route: "r", Deadline: time.Now().Add(time.Second), Objective: time.Now().Add(time.Second)}
		first := f.reserve(t.Context(), r)
		assert.Assert(t, first.err == nil && first.ticket != 0)
		second := f.reserve(t.Context(), r)
		assert.Equal(t, second.err.Kind, fault.KindHandedBack)
		assert.Equal(t, second.err.Outcome, fault.Refused)
		time.Sleep(ticketTime + time.Millisecond)
		assert.Equal(t, f.load().InFlight, 0)
		assert.Assert(t, f.redeem(first.ticket) == nil)

		third := f.reserve(t.Context(), r)
		assert.Assert(t, f.redeem(third.ticket) != nil)
		assert.Assert(t, f.redeem(third.ticket) == nil)
		time.Sleep(2 * ticketTime)
		assert.Equal(t, f.load().InFlight, 1)
	})
}
