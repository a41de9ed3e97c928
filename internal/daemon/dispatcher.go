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

// peerResolver resolves the name of a node to its peer address.
type peerResolver interface {
	peer(id string) (node.Peer, bool)
}

// forwarder sends a request to another node.
type forwarder interface {
	Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error)
}

// localLoader returns the load of the backend server beside this node; it is false if
// no server of the service runs there.
type localLoader interface {
	loadOf(service string) (call.Load, bool)
}

// suspectChecker reports which requests may have crashed a backend server.
type suspectChecker interface {
	suspect(r call.Request) bool
}

// serviceLimits are the limits that the configuration sets for a service.
type serviceLimits interface {
	// Retries bounds the retries of one request and their share of all calls.
	Retries(service string) (limit int, ratio float64)
	// Hedges bounds the hedges of requests.
	Hedges(service string) retry.HedgeRule
}

// dispatcher places the requests that callers send to this node on backend servers,
// and retries them where that is safe and within the allowance.
type dispatcher struct {
	common
	journal
	routes        *routing.Table
	resolver      peerResolver
	transport     forwarder
	local         call.Server
	localLoad     localLoader
	suspects      suspectChecker
	serviceLimits serviceLimits
	// retries, allowances and hedger limit the retries and hedges of this node.
	retries    retry.Budget
	allowances retry.AllowancePool
	hedger     retry.Hedger
}

// attempt is one send of a request.
type attempt struct {
	choice routing.Choice
	start  time.Time
	seq    evidence.Seq
}

// Serve implements call.Server.
func (d *dispatcher) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	allowance, returnUnused := d.allowance(r, time.Now())
	delivery := dispatch{dispatcher: d, request: r}
	delivery.attempts.Start(allowance)
	answer, err := delivery.run(ctx)
	left := delivery.attempts.Left()
	returnUnused(left)
	if answer != nil {
		answer.Allowance = int(left.Retries)
	}
	return answer, err
}

// allowance returns the retries that the request may use, and a function that returns
// the unused ones: to the request of the local server that made this call, or to the
// budget of first calls.
func (d *dispatcher) allowance(r call.Request, now time.Time) (a retry.Allowance, returnUnused func(retry.Allowance)) {
	if r.Hop > 0 {
		// The caller is a backend server. It may copy its headers to many calls, so it
		// can borrow only what its node still holds for its request.
		a, ok := d.allowances.Borrow(r.Parent)
		a.Deadline, a.Hop = r.Deadline, uint8(r.Hop)
		if !ok {
			return a, func(retry.Allowance) {}
		}
		return a, func(left retry.Allowance) { d.allowances.Return(r.Parent, left) }
	}
	limit, ratio := d.serviceLimits.Retries(r.Service)
	granted := d.retries.Grant(r.Service, ratio, r.Deadline, now)
	// Retries above the limit of the service are returned with the unused ones.
	excess := uint8(max(0, int(granted.Retries)-limit))
	return granted.WithRetries(granted.Retries - excess), func(left retry.Allowance) {
		d.retries.Put(r.Service, ratio, left.WithRetries(left.Retries+excess))
	}
}

// choose picks a server that has not been tried yet.
func (d *dispatcher) choose(r call.Request, tried []string, action evidence.Action) (attempt, bool) {
	now := time.Now()
	// The current load of the server beside this node is available at no cost; the one
	// carried by its last answer is outdated if the server has just become slow.
	if load, ok := d.localLoad.loadOf(r.Service); ok {
		d.routes.Observe(r.Service, d.ID, routingLoad(load, 0), now)
	}
	choice, ok := d.routes.Pick(routing.Request{
		Service: r.Service, Class: r.Class, Tenant: r.Tenant, Exclude: tried, Idempotent: r.Idempotent,
	}, now)
	if !ok {
		return attempt{}, false
	}
	return attempt{choice: choice, start: now, seq: d.recordPlacement(r, action, choice, now)}, true
}

// noServerError returns the error for a request that has no server left to try.
func (d *dispatcher) noServerError(r call.Request, last error) error {
	if last != nil {
		return last
	}
	err := fault.New(fault.KindNoServer, "no backend server of service %q can take the request", r.Service)
	if len(d.routes.Snapshot(r.Service)) == 0 {
		err = fault.New(fault.KindUnknownService, "no backend server of service %q is known", r.Service)
	}
	return d.recordRefusal(r, call.Load{}, "", err)
}

func (d *dispatcher) send(ctx context.Context, a attempt, r call.Request) (*call.Answer, error) {
	answer, err := d.sendTo(ctx, a.choice.ID, r)
	took := time.Since(a.start)
	if err != nil {
		outcome := outcomeOf(ctx, err)
		d.routes.Done(r.Service, a.choice.ID, outcome, took, time.Now())
		d.recordEnd(a.seq, outcome, err, took)
		return nil, err
	}
	d.routes.Observe(r.Service, a.choice.ID, routingLoad(answer.Load, 0), time.Now())
	outcome := routing.Answered
	if answer.Status >= http.StatusInternalServerError {
		outcome = routing.Failed
	}
	d.recordEnd(a.seq, outcome, nil, took)
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: func() {
		d.routes.Done(r.Service, a.choice.ID, outcome, took, time.Now())
	}}
	return answer, nil
}

func (d *dispatcher) sendTo(ctx context.Context, id string, r call.Request) (*call.Answer, error) {
	if id == d.ID {
		return d.local.Serve(ctx, r)
	}
	peer, ok := d.resolver.peer(id)
	if !ok {
		return nil, fault.New(fault.KindUnreachable, "the address of node %s is not known", id).WithOutcome(fault.Refused)
	}
	return d.transport.Call(ctx, peer, r)
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
