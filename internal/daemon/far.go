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

// far answers requests for the backend server beside this node. It has the
// last word on drain, quarantine and admission, because it alone counts the
// server's requests in flight exactly.
type far struct {
	common
	journal
	local  *localServer
	gate   *gate
	client backend.Client
	crash  crashWatch
	// ledger holds the allowances of the requests that the server runs.
	ledger *retry.AllowancePool
	// stopping is set when the node has begun to stop.
	stopping atomic.Bool
	// completed counts answers of the server; it tells a silent connection from
	// a server that answers nobody.
	completed atomic.Int64
}

// Serve implements call.Server.
func (f *far) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if _, err := f.ready(r); err != nil {
		return nil, f.refused(r, f.load(), f.ID, err)
	}
	mark := quarantine.Fingerprint(r.Fingerprint())
	if err := f.crash.check(r, mark); err != nil {
		return nil, f.refused(r, f.load(), f.ID, err)
	}
	leave, err := f.gate.enter(ctx, r)
	if err != nil {
		return nil, f.refused(r, f.load(), f.ID, fault.As(err))
	}
	server, err := f.ready(r)
	if err != nil {
		leave(false)
		return nil, f.refused(r, f.load(), f.ID, err)
	}
	start, err := f.crash.begin(ctx, r, mark)
	if err != nil {
		leave(false)
		return nil, f.refused(r, f.load(), f.ID, err)
	}
	// A suspect may have waited in begin while the server crashed.
	server, err = f.ready(r)
	if err != nil {
		f.crash.end(r, start, false)
		leave(false)
		return nil, f.refused(r, f.load(), f.ID, err)
	}
	answer, err := f.sendWithAllowance(ctx, server.Addr, r)
	if fault.Is(err, fault.KindNoServer) {
		// A request that got no connection never ran, so it is no suspect.
		f.crash.end(r, start, false)
		leave(false)
		return nil, f.failed(ctx, server, r, start, err)
	}
	if err != nil {
		err = f.failed(ctx, server, r, start, err)
		f.crash.end(r, start, false)
		leave(false)
		return nil, err
	}
	f.completed.Add(1)
	f.gate.answered(answer, time.Now())
	answer.Server = f.ID
	answer.Load = f.load()
	answer.Body = &trackedBody{ReadCloser: answer.Body, ended: func(whole bool, err error) {
		if err != nil {
			_ = f.failed(ctx, server, r, start, err)
		}
		f.crash.end(r, start, whole)
		leave(whole)
	}}
	return answer, nil
}

// ready returns the server if it may be given the request. A server that is
// draining finishes what it has and gets nothing new.
func (f *far) ready(r call.Request) (announcement, error) {
	server := f.local.get()
	switch {
	case server.Addr == "" || server.Service != r.Service:
		return server, fault.New(fault.KindNoServer, "node %s has no backend server of service %q", f.ID, r.Service)
	case f.stopping.Load():
		return server, fault.New(fault.KindDraining, "node %s is stopping", f.ID)
	case server.State == stateDraining:
		return server, fault.New(fault.KindDraining, "the backend server beside node %s is draining", f.ID)
	default:
		return server, nil
	}
}

func (f *far) load() call.Load {
	load := f.gate.load()
	load.Draining = f.stopping.Load() || f.local.get().State == stateDraining
	return load
}

// loadOf implements localLoad.
func (f *far) loadOf(service string) (call.Load, bool) {
	if server := f.local.get(); server.Addr == "" || server.Service != service {
		return call.Load{}, false
	}
	return f.load(), true
}

// failed tells a crash of the server from the failure of one request. The
// callers of all requests that were in flight learn of a crash only after the
// other nodes have had the chance to.
func (f *far) failed(ctx context.Context, server announcement, r call.Request, start quarantine.Start, err error) error {
	typed := fault.As(err)
	switch typed.Kind {
	case fault.KindServerLost, fault.KindNoServer, fault.KindCutShort:
	default:
		return typed
	}
	if !backend.RefusesConnections(context.WithoutCancel(ctx), server.Addr) {
		return typed
	}
	f.local.crashed(server.Addr)
	f.Log.WithField("server", server.Addr).WithField("service", r.Service).
		WithField("id", r.ID).Warn("backend server refuses connections")
	if typed.Kind != fault.KindNoServer {
		f.crash.report(context.WithoutCancel(ctx), r.Service, start)
	}
	return typed
}

// sendWithAllowance lends the request's retries to the calls that the server
// makes for it, and returns with the answer what they left.
func (f *far) sendWithAllowance(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
	opened := f.ledger.Add(r.ID, retry.Allowance{
		Retries: uint8(max(r.Allowance, 0)), Hop: uint8(r.Hop), Deadline: r.Deadline,
	})
	answer, err := f.send(ctx, addr, r)
	if !opened {
		return answer, err
	}
	left := f.ledger.Remove(r.ID)
	if answer != nil {
		answer.Allowance = int(left)
	}
	return answer, err
}

// send sends the request. An idempotent one that gets no answer, although the
// server answers others or its connection was idle before, is sent once more on
// a fresh connection: the first connection may have gone silent, not the server.
func (f *far) send(ctx context.Context, addr string, r call.Request) (*call.Answer, error) {
	if !r.Idempotent {
		return f.client.Do(ctx, addr, r)
	}
	first, cancel := context.WithCancelCause(ctx)
	before := f.completed.Load()
	var idle atomic.Int64
	first = httptrace.WithClientTrace(first, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { idle.Store(int64(info.IdleTime)) },
	})
	timer := time.AfterFunc(f.stallAfter(), func() {
		if f.completed.Load() > before || time.Duration(idle.Load()) >= suspectIdle {
			cancel(errSilent)
		}
	})
	answer, err := f.client.Do(first, addr, r)
	timer.Stop()
	if err == nil {
		answer.Body = &releasingBody{ReadCloser: answer.Body, release: func() { cancel(nil) }}
		return answer, nil
	}
	silent := context.Cause(first) == errSilent
	cancel(nil)
	if !silent || ctx.Err() != nil {
		return nil, err
	}
	f.Log.WithField("server", addr).WithField("id", r.ID).Warn("connection to backend server is silent; sending again on a new one")
	// Connections that were idle as well may be silent too.
	f.client.CloseIdle()
	return f.client.Do(ctx, addr, r)
}

const (
	// suspectIdle is how long a connection was unused when it may have been
	// forgotten by something on the way.
	suspectIdle = 500 * time.Millisecond
	// minStall and stallFactor set how long an answer may take, in multiples of
	// the usual latency, before its connection is suspected to be silent.
	minStall    = time.Second
	stallFactor = 20
)

var errSilent = fault.New(fault.KindUnreachable, "connection to the backend server is silent")

func (f *far) stallAfter() time.Duration {
	return max(minStall, stallFactor*f.gate.load().Latency)
}
