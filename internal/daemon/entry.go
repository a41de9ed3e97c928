package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// directory tells the peer address of a node.
type directory interface {
	peer(id string) (node.Peer, bool)
}

// forwarder sends a request to another node.
type forwarder interface {
	Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error)
}

// localLoad tells the load of the backend server beside this node; it is false
// without a running server of the service.
type localLoad interface {
	loadOf(service string) (call.Load, bool)
}

// suspects tells which requests may have crashed a backend server.
type suspects interface {
	suspect(r call.Request) bool
}

// limits are what the configuration allows for a service.
type limits interface {
	// Retries bounds the retries of one request and their share of all calls.
	Retries(service string) (limit int, ratio float64)
	// Hedges bounds the second copies of requests.
	Hedges(service string) retry.HedgeRule
}

// entry places requests on backend servers and retries them where that is
// safe and within the allowance.
type entry struct {
	common
	journal
	routes  *routing.Table
	peers   directory
	forward forwarder
	local   call.Server
	beside  localLoad
	crash   suspects
	limits  limits
	// retries, ledger and hedger bound what this node adds to the load.
	retries retry.Budget
	ledger  retry.AllowancePool
	hedger  retry.Hedger
}

// attempt is one send of a request.
type attempt struct {
	choice routing.Choice
	start  time.Time
	step   evidence.Seq
}

// Serve implements call.Server.
func (e *entry) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	allowance, giveBack := e.allowance(r, time.Now())
	d := dispatch{entry: e, request: r}
	d.attempts.Start(allowance)
	answer, err := d.run(ctx)
	left := d.attempts.Left()
	giveBack(left)
	if answer != nil {
		answer.Allowance = int(left.Retries)
	}
	return answer, err
}

// allowance returns the retries that the request may use, and how to return
// what is left: to the local server's request that made this call, or to the
// budget of first calls.
func (e *entry) allowance(r call.Request, now time.Time) (a retry.Allowance, giveBack func(retry.Allowance)) {
	if r.Hop > 0 {
		// The caller is a backend server. It may copy its headers to many calls,
		// so only what its node still holds for it can be lent.
		a, ok := e.ledger.Borrow(r.Parent)
		a.Deadline, a.Hop = r.Deadline, uint8(r.Hop)
		if !ok {
			return a, func(retry.Allowance) {}
		}
		return a, func(left retry.Allowance) { e.ledger.Return(r.Parent, left) }
	}
	limit, ratio := e.limits.Retries(r.Service)
	granted := e.retries.Grant(r.Service, ratio, r.Deadline, now)
	// What the service may not use goes back with the rest.
	kept := uint8(max(0, int(granted.Retries)-limit))
	return granted.WithRetries(granted.Retries - kept), func(left retry.Allowance) {
		e.retries.Put(r.Service, ratio, left.WithRetries(left.Retries+kept))
	}
}

// choose picks a server that has had no attempt yet.
func (e *entry) choose(r call.Request, tried []string, action evidence.Action) (attempt, bool) {
	now := time.Now()
	// The load of the server beside this node is known exactly at no cost; the
	// one on its last answer is late when the server has just become slow.
	if load, ok := e.beside.loadOf(r.Service); ok {
		e.routes.Observe(r.Service, e.ID, routingLoad(load, 0), now)
	}
	choice, ok := e.routes.Pick(routing.Request{
		Service: r.Service, Class: r.Class, Tenant: r.Tenant, Exclude: tried, Idempotent: r.Idempotent,
	}, now)
	if !ok {
		return attempt{}, false
	}
	return attempt{choice: choice, start: now, step: e.placed(r, action, choice, now)}, true
}

// nobody is the error when no server is left to try.
func (e *entry) nobody(r call.Request, last error) error {
	if last != nil {
		return last
	}
	err := fault.New(fault.KindNoServer, "no backend server of service %q can take the request", r.Service)
	if len(e.routes.Snapshot(r.Service)) == 0 {
		err = fault.New(fault.KindUnknownService, "no backend server of service %q is known", r.Service)
	}
	return e.refused(r, call.Load{}, "", err)
}

func (e *entry) send(ctx context.Context, a attempt, r call.Request) (*call.Answer, error) {
	answer, err := e.sendTo(ctx, a.choice.ID, r)
	took := time.Since(a.start)
	if err != nil {
		outcome := outcomeOf(ctx, err)
		e.routes.Done(r.Service, a.choice.ID, outcome, took, time.Now())
		e.ended(a.step, outcome, err, took)
		return nil, err
	}
	e.routes.Observe(r.Service, a.choice.ID, routingLoad(answer.Load, 0), time.Now())
	outcome := routing.Answered
	if answer.Status >= http.StatusInternalServerError {
		outcome = routing.Failed
	}
	e.ended(a.step, outcome, nil, took)
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: func() {
		e.routes.Done(r.Service, a.choice.ID, outcome, took, time.Now())
	}}
	return answer, nil
}

func (e *entry) sendTo(ctx context.Context, id string, r call.Request) (*call.Answer, error) {
	if id == e.ID {
		return e.local.Serve(ctx, r)
	}
	peer, ok := e.peers.peer(id)
	if !ok {
		return nil, fault.New(fault.KindUnreachable, "the address of node %s is not known", id).WithOutcome(fault.Refused)
	}
	return e.forward.Call(ctx, peer, r)
}

func outcomeOf(ctx context.Context, err error) routing.Outcome {
	f := fault.As(err)
	switch {
	case ctx.Err() == context.Canceled:
		return routing.Canceled
	case f.Outcome == fault.Refused && f.Kind != fault.KindUnreachable:
		return routing.Refused
	case f.Kind == fault.KindServerLost || f.Kind == fault.KindCutShort:
		return routing.Failed
	default:
		return routing.Lost
	}
}
