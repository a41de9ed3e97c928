package daemon

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// serverProxy runs requests on the backend server beside this node. It makes the final
// decision on drain, quarantine and admission, because it alone counts the server's
// requests in flight exactly.
type serverProxy struct {
	common
	journal
	local     *localServer
	admission *admissionController
	client    backend.Client
	crash     crashDetector
	// allowances holds the retry allowances of the requests that the server runs.
	allowances *retry.AllowancePool
	// stopping is set when the node has begun to stop.
	stopping atomic.Bool
	// completed counts the answers of the server. It distinguishes a silent connection
	// from a server that answers no request.
	completed atomic.Int64
}

// Serve implements call.Server.
func (p *serverProxy) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if _, err := p.ready(r); err != nil {
		return nil, p.recordRefusal(r, p.load(), p.ID, err)
	}
	fingerprint := quarantine.Fingerprint(r.Fingerprint())
	if err := p.crash.check(r, fingerprint); err != nil {
		return nil, p.recordRefusal(r, p.load(), p.ID, err)
	}
	leave, err := p.admission.enter(ctx, r)
	if err != nil {
		return nil, p.recordRefusal(r, p.load(), p.ID, fault.As(err))
	}
	server, err := p.ready(r)
	if err != nil {
		leave(false)
		return nil, p.recordRefusal(r, p.load(), p.ID, err)
	}
	start, err := p.crash.begin(ctx, r, fingerprint)
	if err != nil {
		leave(false)
		return nil, p.recordRefusal(r, p.load(), p.ID, err)
	}
	// A suspect may have waited in begin while the server crashed.
	server, err = p.ready(r)
	if err != nil {
		p.crash.end(r, start, false)
		leave(false)
		return nil, p.recordRefusal(r, p.load(), p.ID, err)
	}
	answer, err := p.sendWithAllowance(ctx, server.Addr, r)
	if fault.Is(err, fault.KindNoServer) {
		// A request that got no connection did not run, so it is not a suspect.
		p.crash.end(r, start, false)
		leave(false)
		return nil, p.failed(ctx, server, r, start, err)
	}
	if err != nil {
		err = p.failed(ctx, server, r, start, err)
		p.crash.end(r, start, false)
		leave(false)
		return nil, err
	}
	p.completed.Add(1)
	p.admission.observeAnswer(answer, time.Now())
	answer.Server = p.ID
	answer.Load = p.load()
	answer.Body = &trackedBody{ReadCloser: answer.Body, onClose: func(complete bool, err error) {
		if err != nil {
			_ = p.failed(ctx, server, r, start, err)
		}
		p.crash.end(r, start, complete)
		leave(complete)
	}}
	return answer, nil
}

// ready returns the server if it can take the request. A draining server finishes its
// requests and gets no new ones.
func (p *serverProxy) ready(r call.Request) (announcement, error) {
	server := p.local.get()
	switch {
	case server.Addr == "" || server.Service != r.Service:
		return server, fault.New(fault.KindNoServer, "node %s has no backend server of service %q", p.ID, r.Service)
	case !p.crash.knows(server.Service):
		return server, fault.New(fault.KindNoServer, "node %s does not know yet which requests crash servers", p.ID)
	case p.stopping.Load():
		return server, fault.New(fault.KindDraining, "node %s is stopping", p.ID)
	case server.State == stateDraining:
		return server, fault.New(fault.KindDraining, "the backend server beside node %s is draining", p.ID)
	default:
		return server, nil
	}
}

func (p *serverProxy) load() call.Load {
	load := p.admission.load()
	load.Draining = p.stopping.Load() || p.local.get().State == stateDraining
	return load
}

// running reports whether the server may run a request. Once it is false after the
// node has begun to stop, it stays false.
func (p *serverProxy) running() bool {
	load := p.admission.load()
	return load.InFlight+load.Queued > 0
}

// loadOf implements localLoader.
func (p *serverProxy) loadOf(service string) (call.Load, bool) {
	if server := p.local.get(); server.Addr == "" || server.Service != service {
		return call.Load{}, false
	}
	return p.load(), true
}

// failed distinguishes a crash of the server from the failure of one request. After a
// crash, the callers of the requests in flight get their failure only after the other
// nodes have been notified or broadcastTimeout has passed.
func (p *serverProxy) failed(ctx context.Context, server announcement, r call.Request, start quarantine.Start, err error) error {
	typed := fault.As(err)
	switch typed.Kind {
	case fault.KindServerLost, fault.KindNoServer, fault.KindCutShort:
	default:
		return typed
	}
	if !backend.RefusesConnections(context.WithoutCancel(ctx), server.Addr) {
		return typed
	}
	p.local.crashed(server.Addr)
	p.Log.WithField("server", server.Addr).WithField("service", r.Service).
		WithField("id", r.ID).Warn("backend server refuses connections")
	if typed.Kind != fault.KindNoServer {
		p.crash.report(context.WithoutCancel(ctx), r.Service, start)
	}
	return typed
}

// sendWithAllowance makes the request's retries available to the calls that the server
// makes for it, and returns the unused ones with the answer.
func (p *serverProxy) sendWithAllowance(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
	added := p.allowances.Add(r.ID, retry.Allowance{
		Retries: uint8(max(r.Allowance, 0)), Hop: uint8(r.Hop), Deadline: r.Deadline,
	})
	answer, err := p.send(ctx, addr, r)
	if !added {
		return answer, err
	}
	left := p.allowances.Remove(r.ID)
	if answer != nil {
		answer.Allowance = int(left)
	}
	return answer, err
}

// send sends the request. An idempotent request that gets no answer, although the
// server answers others or the connection was idle before, is also sent on a new
// connection: it may be the first connection that is silent, not the server. The first
// good answer counts.
func (p *serverProxy) send(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
	if !r.Idempotent {
		return p.client.Do(ctx, addr, r)
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	secondCtx, cancelSecond := context.WithCancel(ctx)
	before := p.completed.Load()
	var idle atomic.Int64
	// answered is set by the send whose answer counts; the other one is canceled.
	var answered atomic.Bool
	firstCtx = httptrace.WithClientTrace(firstCtx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { idle.Store(int64(info.IdleTime)) },
	})
	second := make(chan sendResult, 1)
	timer := time.AfterFunc(p.stallTimeout(), func() {
		if p.completed.Load() == before && time.Duration(idle.Load()) < suspectIdle {
			second <- sendResult{err: errSilent}
			return
		}
		p.Log.WithField("server", addr).WithField("id", r.ID).Warn("connection to backend server does not respond; sending on a new one too")
		// Other idle connections may be silent too.
		p.client.CloseIdle()
		answer, err := p.client.Do(secondCtx, addr, r)
		if err == nil && answered.CompareAndSwap(false, true) {
			cancelFirst()
		}
		second <- sendResult{answer, err}
	})
	answer, err := p.client.Do(firstCtx, addr, r)
	if err == nil && answered.CompareAndSwap(false, true) {
		cancelSecond()
		if !timer.Stop() {
			go func() { (<-second).discard() }()
		}
		answer.Body = &releasingBody{ReadCloser: answer.Body, release: cancelFirst}
		return answer, nil
	}
	sendResult{answer, err}.discard()
	cancelFirst()
	if !timer.Stop() {
		if other := <-second; other.err == nil {
			other.answer.Body = &releasingBody{ReadCloser: other.answer.Body, release: cancelSecond}
			return other.answer, nil
		}
	}
	cancelSecond()
	return nil, err
}

// sendResult is the result of one send to the server.
type sendResult struct {
	answer *call.Answer
	err    error
}

// discard closes an answer that is not used.
func (r sendResult) discard() {
	if r.err == nil {
		_ = r.answer.Body.Close()
	}
}

const (
	// suspectIdle is the idle time after which a device on the path may have dropped
	// the state of a connection.
	suspectIdle = 500 * time.Millisecond
	// An answer that takes stallFactor times the usual latency, and at least minStall,
	// makes its connection suspect of being silent.
	minStall    = time.Second
	stallFactor = 20
)

var errSilent = fault.New(fault.KindUnreachable, "connection to the backend server does not respond")

func (p *serverProxy) stallTimeout() time.Duration {
	return max(minStall, stallFactor*p.admission.load().Latency)
}
