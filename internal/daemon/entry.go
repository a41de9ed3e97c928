package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	// maxHandovers bounds how often a refused request is given to another
	// server: sending it on and on floods the other servers under overload.
	maxHandovers = 1
	// maxAttempts bounds all sends of one request from this node.
	maxAttempts = 4
)

// directory tells the peer address of a node.
type directory interface {
	peer(id string) (node.Peer, bool)
}

// forwarder sends a request to another node.
type forwarder interface {
	Call(ctx context.Context, peer node.Peer, r call.Request) (*call.Answer, error)
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
	retries *retries
}

// attempt is one send of a request.
type attempt struct {
	choice routing.Choice
	start  time.Time
	step   evidence.Step
}

// Serve implements call.Server.
func (e *entry) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if r.Allowance < 0 {
		r.Allowance = e.retries.grant(time.Now())
	}
	var tried []string
	handovers := 0
	var last error
	action := evidence.Place
	for range maxAttempts {
		a, ok := e.choose(r, tried, action)
		if !ok {
			return nil, e.nobody(r, last)
		}
		answer, err := e.send(ctx, a, r)
		if err == nil && !retryable(answer, r) {
			answer.Allowance = min(answer.Allowance, r.Allowance)
			return answer, nil
		}
		tried = append(tried, a.choice.ID)
		action = evidence.Retry
		if err == nil {
			if r.Allowance == 0 || ctx.Err() != nil {
				return answer, nil
			}
			r.Allowance--
			_ = answer.Body.Close()
			last = nil
			continue
		}
		last = err
		f := fault.As(err)
		switch {
		case ctx.Err() != nil:
			return nil, f
		case f.Outcome == fault.Refused && handovers < maxHandovers && mayHandOver(f):
			handovers++
			action = evidence.Handover
		case f.Outcome == fault.Unknown && r.Idempotent && r.Allowance > 0 && f.Kind != fault.KindDeadline:
			r.Allowance--
		default:
			return nil, f
		}
	}
	return nil, e.nobody(r, last)
}

// retryable reports whether a server's own answer invites another try.
func retryable(answer *call.Answer, r call.Request) bool {
	if !r.Idempotent {
		return false
	}
	return answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusBadGateway
}

// mayHandOver reports whether another server may take a refused request. What
// one server refuses because of the request itself, all would.
func mayHandOver(f *fault.Error) bool {
	switch f.Kind {
	case fault.KindNoServer, fault.KindOverloaded, fault.KindDraining, fault.KindUnreachable, fault.KindStopped:
		return true
	default:
		return false
	}
}

func (e *entry) choose(r call.Request, tried []string, action evidence.Action) (attempt, bool) {
	now := time.Now()
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
	e.routes.Observe(r.Service, a.choice.ID, routing.Load{
		InFlight: answer.Load.InFlight, Queued: answer.Load.Queued, Slots: answer.Load.Slots,
		Latency: answer.Load.Latency, Refusing: answer.Load.Draining,
	}, time.Now())
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
