package mesh

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/chain"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	// maxSends bounds the sends of one request to nodes, regardless of their results.
	maxSends = 12
	// resendShare is the share of the platform's limit on resends that may be used for
	// requests that may have run, and for those that their server refused while their
	// callers may still retry.
	resendShare = 0.4
	// lastTryShare is the share for requests that their server refused and whose callers
	// have been refused before, because most callers retry only once, and for calls,
	// because the request that waits for one has used a slot already.
	lastTryShare = 0.8
	// usualAnswerBytes is the assumed size of an answer in the transfer costs of a
	// placement.
	usualAnswerBytes = 2 << 10
	// minReserveBytes is the body size from which a slot is reserved before the body
	// is sent: a third of all sends is handed back, and the round trip costs less than
	// sending such a body to a server that does not take the request.
	minReserveBytes = 8 << 10
	// minLargeAnswer is the mean size from which a route's answers wait for the link of
	// the server's host.
	minLargeAnswer = 16 << 10
)

// dispatcher places the requests that callers send to this node.
type dispatcher struct {
	*Options
	directory   *directory
	serverProxy *serverProxy
	peers       *peer.Client
	// sizes holds the sizes of the answers of all servers.
	sizes *answerSizes
	// version returns the version of the configuration in force. onVersion is called
	// with the configuration version of a node that has replied.
	version   func() uint64
	onVersion func(version uint64, from roster.Entry)

	mu      sync.Mutex
	resends retry.Windows
	// longestTimeout is the longest timeout of a request seen for each route. A caller
	// that retries sets a shorter one, the time that it has left; the difference is how
	// long it has been waiting.
	longestTimeout map[string]time.Duration
}

// prepare completes a parsed request with the settings of its route, and estimates how
// long its caller has been waiting already. The latency objective counts from the
// caller's first attempt, because the caller measures the latency from there.
func (d *dispatcher) prepare(r call.Request, rt route.Route, service string) (_ call.Request, elapsed time.Duration) {
	now := r.Arrived
	r.Service, r.Route, r.Idempotent, r.Priority, r.Origin = service, rt.Name, rt.Idempotent, rt.Priority, d.backend().Service
	limit := now.Add(rt.Timeout)
	left := rt.Timeout
	if !r.Deadline.IsZero() {
		left = r.Deadline.Sub(now)
	}
	if r.Deadline.IsZero() || limit.Before(r.Deadline) {
		r.Deadline = limit
	}
	elapsed = d.elapsed(rt.Name, left)
	if rt.Objective > 0 {
		r.Objective = now.Add(rt.Objective - elapsed)
	}
	return r, elapsed
}

// elapsed estimates how long the caller has been waiting already.
func (d *dispatcher) elapsed(route string, left time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longestTimeout == nil {
		d.longestTimeout = make(map[string]time.Duration)
	}
	if left > d.longestTimeout[route] {
		d.longestTimeout[route] = left
	}
	return d.longestTimeout[route] - left
}

// resendLimits returns the limits on resends. The caller holds d.mu.
func (d *dispatcher) resendLimits() *retry.Windows {
	w := &d.resends
	w.Span, w.Ratio = d.Bounds.RetrySpan, d.Bounds.RetryRatio
	w.Fixed = d.Bounds.RetryFixed / float64(max(d.directory.count(), 1))
	return w
}

func (d *dispatcher) countRequest(service string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resendLimits().Request(service, now)
}

func (d *dispatcher) takeResend(r call.Request, share float64, now time.Time) (retry.Charge, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resendLimits().Take(r.Service, r.Route, share, now)
}

// refundResend takes back what a resend was charged and has not used. arrived is set if a
// server refused it.
func (d *dispatcher) refundResend(c retry.Charge, arrived bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resendLimits().Refund(c, arrived, time.Now())
}

// runAnswered records the calls of a run.
func (d *dispatcher) runAnswered(route string, calls map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.resendLimits().Ran(route, calls, time.Now())
}

// send sends the request to the chosen server: directly if the server is beside this
// node, otherwise through the node beside it.
func (d *dispatcher) send(ctx context.Context, r call.Request, choice placement.Choice) sendResult {
	node := choice.Server.ID
	return d.observe(ctx, node, func(ctx context.Context) sendResult {
		if choice.Server.Distance == placement.SameHost {
			return d.serverProxy.serve(ctx, r, 0)
		}
		return d.sendRemote(ctx, r, node)
	})
}

// observe calls send and records its result for the placement of later requests.
func (d *dispatcher) observe(ctx context.Context, node string, send func(ctx context.Context) sendResult) sendResult {
	d.directory.sendStarted(node)
	result := send(ctx)
	now := time.Now()
	d.directory.sendEnded(node)
	if result.load.Slots > 0 || result.load.Draining {
		d.directory.observe(node, result.load, now)
	}
	// Without an acknowledgement the failure is that of the node or the network, not of
	// its server. A canceled send says nothing either.
	canceled := result.err != nil && errors.Is(ctx.Err(), context.Canceled)
	if result.ran && !result.unacknowledged && !result.calls.Failed && !canceled {
		d.directory.observeOutcome(node, result.err != nil && ctx.Err() == nil || result.answer != nil && result.answer.Status >= http.StatusInternalServerError, now)
	}
	return result
}

func (d *dispatcher) sendRemote(ctx context.Context, r call.Request, node string) sendResult {
	to, ok := d.directory.entry(node)
	if !ok {
		return sendResult{err: fault.New(fault.KindUnreachable, "node %s has left", node).WithOutcome(fault.Refused)}
	}
	body := r.Body
	r.Body = nil
	m := message{Version: d.version()}
	if len(body) >= minReserveBytes {
		m.Reserve = withRemainingTimes(r, time.Now())
		return d.exchange(ctx, to, m, peer.Request{AwaitAck: true, KeepOpen: true})
	}
	m.Call = withRemainingTimes(r, time.Now())
	// An idempotent request can be sent to another node if this one does not acknowledge
	// it. Any other request cannot, so the connection is checked before it is sent.
	return d.exchange(ctx, to, m, peer.Request{Body: body, AwaitAck: r.Idempotent, KeepOpen: r.Idempotent, CheckLiveness: !r.Idempotent})
}

// exchange sends one message about a request to the node beside a server.
func (d *dispatcher) exchange(ctx context.Context, to roster.Entry, m message, r peer.Request) sendResult {
	var err error
	if r.Head, err = encode(m); err != nil {
		return sendResult{err: fault.As(err).WithOutcome(fault.Refused)}
	}
	answer, err := d.peers.Call(ctx, to.Addr, r)
	if err != nil && ctx.Err() == nil && !errors.Is(err, peer.ErrHeadTooLarge) {
		d.directory.markUnreachable(to.Node, err, time.Now())
	}
	result := d.receive(ctx, to, m, answer, err)
	var pending *peer.Pending
	if errors.As(err, &pending) {
		// A late failure says nothing new: the node is probed since the first one.
		result.await = func(ctx context.Context) sendResult {
			answer, err := pending.Await(ctx)
			return d.receive(ctx, to, m, answer, err)
		}
	}
	return result
}

// receive returns the result of an exchange.
func (d *dispatcher) receive(ctx context.Context, to roster.Entry, m message, answer *peer.Answer, err error) sendResult {
	result := d.decode(ctx, to, m, answer, err)
	if m.Reserve != nil && result.err != nil {
		// Without its body the request cannot have run.
		result.ran, result.unacknowledged = false, false
		result.err = result.err.WithOutcome(fault.Refused)
	}
	return result
}

func (d *dispatcher) decode(ctx context.Context, to roster.Entry, m message, answer *peer.Answer, err error) sendResult {
	if err != nil {
		return callFailed(ctx, to.Node, err)
	}
	d.directory.markReachable(to.Node)
	var reply response
	if err := wire.Unmarshal(answer.Head, &reply); err != nil {
		_ = answer.Body.Close()
		return sendResult{err: fault.New(fault.KindCutShort, "reply of node %s: %v", to.Node, err), ran: true}
	}
	result := sendResult{ran: reply.Ran, err: reply.Fault, calls: chain.Summary{Calls: reply.Calls, Failed: reply.CallFailed, MayHaveFailed: reply.CallMayHaveFailed}}
	// The load after a reservation counts the reserved slot, as does the send of the body.
	if reply.Load != nil && reply.Ticket == 0 {
		result.load = *reply.Load
	}
	d.onVersion(reply.Version, to)
	if len(reply.SlotSummary) > 0 {
		d.directory.setSummary(to.Node, reply.SlotSummary)
	}
	switch {
	case reply.Fault != nil:
		_ = answer.Body.Close()
		return result
	case m.Reserve != nil:
		result.slot = &reservedSlot{node: to, ticket: reply.Ticket, answer: answer}
		return result
	}
	if err := call.CheckStatus(reply.Status); err != nil {
		_ = answer.Body.Close()
		return sendResult{err: fault.New(fault.KindCutShort, "reply of node %s: %v", to.Node, err), ran: true}
	}
	d.sizes.observe(m.Call.Route, reply.Length)
	result.answer = &call.Answer{Status: reply.Status, Header: reply.Header, Length: reply.Length, Body: answer.Body, Outcome: fault.Ran, Server: to.Node}
	return result
}

// callFailed returns the result for a failed call to another node. The request may
// have run, unless it is certain that it was not sent.
func callFailed(ctx context.Context, node string, err error) sendResult {
	if ctx.Err() != nil {
		return sendResult{err: fault.New(fault.KindDeadline, "no answer before the deadline, or the caller left"), ran: true}
	}
	if errors.Is(err, peer.ErrHeadTooLarge) {
		return sendResult{err: fault.New(fault.KindHeaderTooLarge, "%v", err)}
	}
	failure := fault.New(fault.KindUnreachable, "node %s: %v", node, err)
	if errors.Is(err, peer.ErrNotSent) {
		return sendResult{err: failure.WithOutcome(fault.Refused)}
	}
	return sendResult{err: failure, ran: true, unacknowledged: errors.Is(err, peer.ErrNoAck)}
}
