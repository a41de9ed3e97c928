package mesh

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/internal/standin/relay"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// newDispatch returns the dispatch of a lookup with two attempts and an empty resend
// window, at a node that knows n1 to n3.
func newDispatch(t *testing.T) *dispatch {
	t.Helper()
	o := &Options{Node: "n0", Domain: "d", Region: "r", Service: "s", Log: &log.Logger{Handler: discard.New()}}
	o.Bounds.RetrySpan = time.Second
	peers := &peer.Client{AckTimeout: 20 * time.Millisecond}
	t.Cleanup(peers.Close)
	return &dispatch{
		dispatcher: &dispatcher{
			Options: o, directory: newDirectory("n1", "n2", "n3"), serverProxy: newServerProxy(1), peers: peers, sizes: &answerSizes{},
			version: func() uint64 { return 1 }, onVersion: func(uint64, roster.Entry) {},
		},
		request:  call.Request{ID: "x", Service: "s", Route: "r", Idempotent: true, Deadline: time.Now().Add(time.Hour)},
		attempts: 2, start: time.Now(),
	}
}

func sendTo(node string, result sendResult) send {
	return send{number: 1, choice: placement.Choice{Server: placement.Server{ID: node}}, result: result}
}

func unacknowledged(await func(ctx context.Context) sendResult) sendResult {
	return sendResult{err: fault.New(fault.KindUnreachable, "no acknowledgement"), ran: true, unacknowledged: true, await: await}
}

// Guards against a second run that the resend window has refused, after a late hand-back.
func TestLateHandBackGrantsNoResend(t *testing.T) {
	d := newDispatch(t)
	_, done := d.evaluate(t.Context(), sendTo("n1", unacknowledged(func(context.Context) sendResult {
		return sendResult{err: fault.New(fault.KindHandedBack, "no slot")}
	})))
	assert.Assert(t, !done && !d.final(t.Context()))
	_, done = d.evaluate(t.Context(), sendTo("n2", sendResult{ran: true, answer: &call.Answer{Status: 500}}))
	assert.Assert(t, !done && d.final(t.Context()))
	late, ok := d.open.next(t.Context())
	assert.Assert(t, ok)
	_, done = d.evaluate(t.Context(), late)
	assert.Assert(t, !done && d.final(t.Context()), "the request may be sent again")
}

// Guards against failing a request that a slow node runs, because another node refuses it.
func TestRefusalDoesNotEndOpenSends(t *testing.T) {
	d := newDispatch(t)
	d.directory = newDirectory()
	_, done := d.evaluate(t.Context(), sendTo("n1", unacknowledged(func(context.Context) sendResult {
		return sendResult{ran: true, answer: &call.Answer{Status: 200}}
	})))
	assert.Assert(t, !done)
	_, done = d.evaluate(t.Context(), sendTo("n2", sendResult{err: overloaded(time.Second)}))
	assert.Assert(t, !done)
	d.exhausted = d.final(t.Context())
	assert.Assert(t, d.exhausted)
	answer, err := d.run(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, 200)
}

// Guards against an open send that nobody ends when its caller leaves at the moment of
// the time-out.
func TestOpenSendEndsWithItsCaller(t *testing.T) {
	d := newDispatch(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	result := unacknowledged(func(ctx context.Context) sendResult {
		ended <- ctx.Err()
		return sendResult{err: fault.New(fault.KindDeadline, "the caller left"), ran: true}
	})
	result.unacknowledged = false
	_, done := d.evaluate(ctx, sendTo("n1", result))
	assert.Assert(t, !done)
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against excluding a node that was reached again, because of an older send.
func TestLateFailureDoesNotExcludeANode(t *testing.T) {
	s := &peer.Server{Handler: func(context.Context, peer.Incoming) peer.Reply { return peer.Reply{} }}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	path := &relay.Relay{Target: s.Addr()}
	assert.NilError(t, path.StartTCP("127.0.0.1:0"))
	t.Cleanup(path.Close)
	d := newDispatch(t)
	to, ok := d.directory.entry("n1")
	assert.Assert(t, ok)
	to.Addr = path.TCPAddr()
	a, err := d.peers.Call(t.Context(), to.Addr, peer.Request{})
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	path.SetMode(relay.Silent)
	result := d.exchange(t.Context(), to, message{Call: &d.request}, peer.Request{AwaitAck: true, KeepOpen: true})
	assert.Assert(t, result.unacknowledged && result.await != nil)
	assert.Assert(t, path.Dropped() > 0)
	d.directory.markReachable("n1")
	result = result.await(t.Context())
	assert.Equal(t, result.err.Kind, fault.KindUnreachable)
	assert.Assert(t, !d.directory.loadOf("n1").reach.Unreachable())
}

// Guards against counting a canceled send as a success or a failure of the server.
func TestCanceledSendSaysNothingOfTheServer(t *testing.T) {
	d := newDispatch(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.observe(ctx, "n1", func(ctx context.Context) sendResult { return callFailed(ctx, "n1", ctx.Err()) })
	assert.Equal(t, d.directory.loadOf("n1").samples, 0.0)
}

// Guards against an answer that is cut because it was kept until the deadline.
func TestFallbackIsNotCut(t *testing.T) {
	s := &peer.Server{Handler: func(context.Context, peer.Incoming) peer.Reply {
		head, err := encode(response{Status: 500, Ran: true})
		assert.Check(t, err)
		return peer.Reply{Head: head, Payload: make([]byte, 1<<20)}
	}}
	assert.NilError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	d := newDispatch(t)
	ctx, cancel := context.WithCancel(t.Context())
	large := d.exchange(ctx, roster.Entry{Node: "n1", Addr: s.Addr()}, message{Call: &d.request}, peer.Request{})
	assert.Assert(t, large.answer != nil)
	d.open.start(ctx, send{}, func(ctx context.Context) sendResult {
		<-ctx.Done()
		return sendResult{err: fault.New(fault.KindDeadline, "open until the deadline")}
	})
	_, done := d.evaluate(ctx, sendTo("n1", large))
	assert.Assert(t, !done)
	cancel()
	_, err := d.finish(ctx)
	assert.Equal(t, fault.As(err).Kind, fault.KindDeadline)
	assert.Assert(t, fault.As(err).Outcome != fault.Refused)

	d.keepFallback(&call.Answer{Status: 500, Body: io.NopCloser(strings.NewReader("complete"))})
	answer, err := d.finish(ctx)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Open())
	assert.NilError(t, err)
	assert.Equal(t, string(body), "complete")
}

// Guards against nodes that count as unreachable because a request has a header that is
// larger than the limit between nodes.
func TestLargeHeaderDoesNotExcludeANode(t *testing.T) {
	d := newDispatch(t)
	r := d.request
	r.URI, r.Timeout = strings.Repeat("x", 1<<20), time.Minute
	to, ok := d.directory.entry("n1")
	assert.Assert(t, ok)
	for range 5 {
		result := d.exchange(t.Context(), to, message{Call: &r}, peer.Request{})
		assert.Equal(t, result.err.Kind, fault.KindHeaderTooLarge)
		assert.Assert(t, !result.ran && result.err.Outcome == fault.Refused)
	}
	assert.Equal(t, len(d.directory.down), 0)
}

// Guards against refunds of sends that were not charged, which let the called service
// get more resends than its limit, and against charges for sends that reach no server.
func TestRefundsAreThoseOfTheSend(t *testing.T) {
	shed := sendResult{err: fault.New(fault.KindShed, "refused")}
	unreachable := sendResult{err: fault.New(fault.KindUnreachable, "not sent").WithOutcome(fault.Refused)}
	handedBack := sendResult{err: fault.New(fault.KindHandedBack, "no slot")}
	for name, c := range map[string]struct {
		resends     []sendResult // after a free copy was shed
		usedOfOwner int
	}{
		"refused":    {[]sendResult{shed}, 1},
		"not sent":   {[]sendResult{unreachable, handedBack}, 0},
		"second one": {[]sendResult{handedBack, shed}, 1},
		"not used":   {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatch(t)
			d.attempts, d.Bounds.RetrySpan, d.Bounds.RetryFixed = 3, time.Hour, 100
			for range 10 {
				d.runAnswered("r", map[string]int{"called": 1})
				d.runAnswered("probe", nil)
			}
			evaluate := func(s send) {
				_, done := d.evaluate(t.Context(), s)
				assert.Assert(t, !done)
			}
			evaluate(sendTo("n1", unacknowledged(func(context.Context) sendResult { return shed })))
			late, ok := d.open.next(t.Context())
			assert.Assert(t, ok)
			evaluate(sendTo("n2", shed))
			assert.Assert(t, !d.final(t.Context()))
			evaluate(late)
			for _, result := range c.resends {
				s, ok := d.begin(t.Context(), sendTo("n3", sendResult{}), func(context.Context) sendResult { return result })
				assert.Assert(t, ok)
				evaluate(s)
			}
			d.end()
			assert.Equal(t, resendsLeft(d, "called"), resendsLeft(d, "unused"))
			assert.Equal(t, resendsLeft(d, "s"), resendsLeft(d, "unused too")-c.usedOfOwner)
		})
	}
}

// Guards against a charge that stays with a reservation which was given up.
func TestCanceledReservationKeepsNoCharge(t *testing.T) {
	shed := sendResult{err: fault.New(fault.KindShed, "refused")}
	d := newDispatch(t)
	d.attempts, d.Bounds.RetrySpan, d.Bounds.RetryFixed = 3, time.Hour, 100
	for range 10 {
		d.runAnswered("probe", nil)
	}
	reserved := make(chan struct{})
	_, done := d.evaluate(t.Context(), sendTo("n1", unacknowledged(func(context.Context) sendResult {
		<-reserved
		return shed
	})))
	assert.Assert(t, !done)
	_, done = d.evaluate(t.Context(), sendTo("n2", shed))
	assert.Assert(t, !done && !d.final(t.Context()))
	reservation := sendTo("n3", sendResult{})
	reservation.number, reservation.reserving = 3, true
	late, ok := d.begin(t.Context(), reservation, func(ctx context.Context) sendResult {
		close(reserved)
		<-ctx.Done()
		return sendResult{err: fault.New(fault.KindUnreachable, "canceled").WithOutcome(fault.Refused)}
	})
	assert.Assert(t, ok && late.number == 1)
	_, done = d.evaluate(t.Context(), late)
	assert.Assert(t, !done)
	d.end()
	assert.Equal(t, resendsLeft(d, "s"), resendsLeft(d, "unused"))
}

// resendsLeft takes all resends that a service has left.
func resendsLeft(d *dispatch, service string) int {
	n := 0
	for {
		if _, ok := d.takeResend(call.Request{Service: service, Route: "probe"}, 1, time.Now()); !ok {
			return n
		}
		n++
	}
}
