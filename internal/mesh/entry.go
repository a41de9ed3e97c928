package mesh

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
)

const (
	// maxSends bounds the sends of one request to nodes, whatever comes back.
	maxSends = 12
	// rerunShare is the part of the platform's bound on second sends up to which a
	// request that may have run is sent again: the calls that a second run makes count
	// again at the services called, which has to hold for two calls a run with as much
	// of their own.
	rerunShare = 0.25
	// shedShare is the same for a request that its server turned away. No call comes
	// of that, and two calls a run leave half of the bound to the service called.
	shedShare = 0.5
	// usualAnswer is the assumed size of an answer in bytes.
	usualAnswer = 2 << 10
	// reserveBytes is the size of a body from which a slot is reserved before it is
	// sent: a third of all sends is handed back, and a round trip costs less than
	// moving such a body for nothing.
	reserveBytes = 8 << 10
)

// entry places the requests that arrive at this node.
type entry struct {
	*Options
	directory *directory
	far       *far
	peers     *peer.Client
	// version returns that of the configuration in force, and seen is called with
	// that of another node.
	version func() uint64
	seen    func(version uint64, from roster.Entry)

	mu      sync.Mutex
	budgets map[string]*retry.Window
	// longest is the longest deadline seen for each route. A caller that comes
	// again has less time left, which tells how long it has been waiting.
	longest map[string]time.Duration
}

// prepare finishes a parsed request with its route. A caller counts the latency
// from its first attempt.
func (e *entry) prepare(r call.Request, rt route.Route, service string, now time.Time) call.Request {
	r.Service, r.Route, r.Idempotent, r.Priority, r.Origin = service, rt.Name, rt.Idempotent, rt.Priority, e.Service
	limit := now.Add(rt.Timeout)
	left := rt.Timeout
	if !r.Deadline.IsZero() {
		left = r.Deadline.Sub(now)
	}
	if r.Deadline.IsZero() || limit.Before(r.Deadline) {
		r.Deadline = limit
	}
	if rt.Objective > 0 {
		r.Objective = now.Add(rt.Objective - e.waited(rt.Name, left))
	}
	return r
}

// waited estimates how long the caller has been waiting already.
func (e *entry) waited(route string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.longest == nil {
		e.longest = make(map[string]time.Duration)
	}
	if left > e.longest[route] {
		e.longest[route] = left
	}
	return e.longest[route] - left
}

// budget returns the bound on second sends of a service.
func (e *entry) budget(service string) *retry.Window {
	if e.budgets == nil {
		e.budgets = make(map[string]*retry.Window)
	}
	w := e.budgets[service]
	if w == nil {
		w = &retry.Window{Span: e.Bounds.RetrySpan, Ratio: e.Bounds.RetryRatio}
		e.budgets[service] = w
	}
	w.Fixed = e.Bounds.RetryFixed / float64(max(e.directory.nodes(), 1))
	return w
}

func (e *entry) count(service string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget(service).Request(now)
}

func (e *entry) again(service string, share float64, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget(service).Take(now, share)
}

// send asks the node beside a server to run the request.
func (e *entry) send(ctx context.Context, r call.Request, choice placement.Choice) outcome {
	node := choice.Server.ID
	e.directory.began(node)
	var out outcome
	if choice.Server.Distance == placement.SameHost {
		out = e.far.serve(ctx, r, 0)
	} else {
		out = e.remote(ctx, r, node)
	}
	now := time.Now()
	e.directory.ended(node)
	if out.load.Slots > 0 || out.load.Draining {
		e.directory.observe(node, out.load, now)
	}
	if out.ran && !out.silent {
		e.directory.outcome(node, out.err != nil && ctx.Err() == nil || out.answer != nil && out.answer.Status >= 500, now)
	}
	return out
}

func (e *entry) remote(ctx context.Context, r call.Request, node string) outcome {
	to, ok := e.directory.entry(node)
	if !ok {
		return outcome{err: fault.New(fault.KindUnreachable, "node %s has left", node).WithOutcome(fault.Refused)}
	}
	body := r.Body
	r.Body = nil
	m := message{Call: withTimesLeft(r, time.Now()), Version: e.version()}
	if len(body) >= reserveBytes {
		out := e.exchange(ctx, to, message{Reserve: m.Call, Version: m.Version}, peer.Request{AwaitAck: true})
		if out.err != nil {
			out.ran, out.silent = false, false
			out.err = out.err.WithOutcome(fault.Refused)
			return out
		}
		m.Call, m.Ticket = withTimesLeft(r, time.Now()), out.ticket
	}
	return e.exchange(ctx, to, m, peer.Request{Body: body, AwaitAck: r.Idempotent, CheckLiveness: !r.Idempotent})
}

// exchange sends one message about a request to the node beside a server.
func (e *entry) exchange(ctx context.Context, to roster.Entry, m message, r peer.Request) outcome {
	var err error
	if r.Head, err = encode(m); err != nil {
		return outcome{err: fault.As(err).WithOutcome(fault.Refused)}
	}
	answer, err := e.peers.Call(ctx, to.Addr, r)
	if err != nil {
		return e.lost(ctx, to.Node, err)
	}
	e.directory.reached(to.Node)
	var reply response
	if err := msgpack.Unmarshal(answer.Head, &reply); err != nil {
		_ = answer.Body.Close()
		return outcome{err: fault.New(fault.KindCutShort, "reply of node %s: %v", to.Node, err), ran: true}
	}
	out := outcome{ran: reply.Ran, err: reply.Fault, ticket: reply.Ticket}
	if reply.Load != nil {
		out.load = *reply.Load
	}
	e.seen(reply.Version, to)
	if len(reply.Learned) > 0 {
		e.directory.learned(to.Node, reply.Learned)
	}
	if reply.Fault != nil || m.Reserve != nil {
		_ = answer.Body.Close()
		return out
	}
	out.answer = &call.Answer{Status: reply.Status, Header: reply.Header, Length: reply.Length, Body: answer.Body, Outcome: fault.Ran, Server: to.Node}
	return out
}

// lost types the failure of a call to another node.
func (e *entry) lost(ctx context.Context, node string, err error) outcome {
	if ctx.Err() != nil {
		return outcome{err: fault.New(fault.KindDeadline, "no answer before the deadline, or the caller left"), ran: true}
	}
	e.directory.unreachable(node, err, time.Now())
	failure := fault.New(fault.KindUnreachable, "node %s: %v", node, err)
	if errors.Is(err, peer.ErrNotSent) {
		return outcome{err: failure.WithOutcome(fault.Refused)}
	}
	return outcome{err: failure, ran: true, silent: errors.Is(err, peer.ErrNoAck)}
}
