package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/chain"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/slots"
	"github.com/vanillasail/vanillasail/pkg/uplink"
)

// serverProxy runs requests on the backend server beside this node. All requests to
// the server pass through it, so it decides on the server's slots and on whether the
// server is draining.
type serverProxy struct {
	*Options
	pool  backend.Pool
	crash crashDetector
	// uplink is the link over which answers leave the host.
	uplink *uplink.Link
	// sizes holds the sizes of the answers of all servers.
	sizes *answerSizes
	// runs holds the requests that the server runs.
	runs chain.Runs

	mu      sync.Mutex
	limiter slots.Limiter
	server  roster.Server
	// Until doubtUntil, a report may have been sent to an earlier process. confirmed is the
	// name of the server that was healthy when this process last asked, at confirmedAt, and
	// held the newest report that waits for that; nil if there is none.
	doubtUntil  time.Time
	confirmed   string
	confirmedAt time.Time
	held        *roster.Report
	// settled is set once the server has reported or was taken over. Before, on a system
	// that starts for the first time, the server that answers is the one of the settings.
	// expected is the name of the server of an earlier process; empty if there is none.
	settled  bool
	expected string
	// down is set while the server accepts no connections.
	down bool
	// lastRequest is when the last request arrived, and probing whether the probe
	// loop is running.
	lastRequest time.Time
	probing     bool
	// noSlowdown is set when the server's answers carry no slowdown.
	noSlowdown bool
	healthPath string
	// probeDone is closed when the running probe has ended; nil if none is running.
	probeDone chan struct{}
	// probeRate limits the probes of the server.
	probeRate rate.Limiter
	// suggestedLimit is a concurrency limit that was found earlier, or zero.
	suggestedLimit int
	// tickets holds the slots that are reserved for requests whose bodies are being
	// sent.
	tickets    map[uint64]reservation
	lastTicket uint64
	// changed is called, without holding mu, when the entry of this node has to
	// change.
	changed func()
}

// sendResult is the result of one send of a request.
type sendResult struct {
	answer *call.Answer
	err    *fault.Error
	load   call.Load
	// ran is set when the request reached the server and may have run.
	ran bool
	// unacknowledged is set when the node beside the server did not acknowledge the
	// request. The request may still run, but most likely the host is gone.
	unacknowledged bool
	// await returns the result of an unacknowledged send that is still open. It must be
	// called; nil if the send has ended.
	await func(ctx context.Context) sendResult
	// calls are the calls that the server made for the request. If one of them failed,
	// the result says nothing about the server.
	calls chain.Summary
	// ticket identifies the slot that is reserved for the request, and hold is the body of
	// the answer to the reservation.
	ticket uint64
	hold   *ticketHold
	// slot is the slot that another node has reserved for the request. It must be used or
	// released; nil if there is none.
	slot *reservedSlot
}

// serve runs, queues or refuses the request. A ticket other than zero identifies the
// slot that was reserved for it.
func (p *serverProxy) serve(ctx context.Context, r call.Request, ticket uint64) sendResult {
	fingerprint := quarantine.Fingerprint(r.Fingerprint())
	run := p.redeem(ticket)
	if run != nil {
		p.awaitBegin(ctx, run)
	} else {
		err := p.crash.check(r, fingerprint)
		if err == nil {
			run, err = p.enter(ctx, r)
		}
		if err != nil {
			return sendResult{err: err, load: p.load()}
		}
	}
	start, err := p.crash.begin(ctx, r, fingerprint)
	if err != nil {
		p.release(run)
		return sendResult{err: err, load: p.load()}
	}
	addr, err := p.address(&r)
	if err != nil {
		p.crash.end(start, true)
		p.release(run)
		return sendResult{err: err, load: p.load()}
	}
	p.runs.Add(r.ID, r.Priority, r.Deadline)
	answer, failure := p.run(ctx, addr, r)
	calls := p.runs.Remove(r.ID)
	p.leave(run, answer, failure, calls.Failed)
	if failure != nil && (failure.Kind == fault.KindServerLost || failure.Kind == fault.KindCutShort) {
		p.connectionBroken(ctx, r, start)
	} else {
		p.crash.end(start, failure == nil && answer.Outcome != fault.Refused)
	}
	if failure != nil {
		return sendResult{err: failure, load: p.load(), ran: failure.Outcome != fault.Refused, calls: calls}
	}
	if answer.Outcome == fault.Refused {
		p.checkMisdirected(r.Target, answer)
		return sendResult{load: p.load(), err: fault.New(fault.KindShed, "the backend server did not run the request: status %d", answer.Status)}
	}
	if !r.Idempotent && promisesNotRun[answer.Status] {
		if answer.Body != nil {
			_ = answer.Body.Close()
		}
		return sendResult{load: p.load(), ran: true, calls: calls, err: fault.New(fault.KindCutShort, "the backend server answered %d to a request that it may have run", answer.Status)}
	}
	p.sizes.observe(r.Route, answer.Length)
	answer.Load = p.load()
	return sendResult{answer: answer, load: answer.Load, ran: true, calls: calls}
}

// promisesNotRun holds the statuses by which callers take a request for not run.
var promisesNotRun = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// release frees the slot of a request that did not begin.
func (p *serverProxy) release(run *slots.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Leave(run, false, time.Now())
}

// enter waits until the request may run. It returns an error if the request is
// handed back or refused.
func (p *serverProxy) enter(ctx context.Context, r call.Request) (*slots.Run, *fault.Error) {
	woken := make(chan bool, 1)
	now := time.Now()
	request := slots.Request{
		Kind: r.Route, Transfer: p.transfer(r), Priority: r.Priority, Objective: r.Due(), Deadline: r.Deadline, Last: r.Last,
		Wake: func(run bool) { woken <- run },
	}
	for {
		p.mu.Lock()
		p.startProbing(now)
		if err := p.refusal(r); err != nil {
			p.mu.Unlock()
			return nil, err
		}
		run, verdict := p.limiter.Enter(request, now)
		wait := p.limiter.Estimate(r.Priority)
		var until time.Duration
		if verdict == slots.Wait {
			until = time.Until(run.Until())
		}
		p.mu.Unlock()
		switch verdict {
		case slots.Start:
			return run, nil
		case slots.HandBack:
			return nil, fault.New(fault.KindHandedBack, "the server has no free slot or is in a slow period").WithWait(wait)
		case slots.Refuse:
			return nil, overloaded(wait)
		case slots.Wait:
			return p.wait(ctx, run, until, woken)
		}
		p.refreshSlowdown(ctx)
		request.Probed, now = true, time.Now()
	}
}

// transfer returns how long the answer to a request will take on the host's link. Small
// answers do not wait for large ones.
func (p *serverProxy) transfer(r call.Request) time.Duration {
	if bytes := p.sizes.mean(r.Route); bytes >= minLargeAnswer {
		return p.uplink.Transfer(bytes, time.Now())
	}
	return 0
}

func (p *serverProxy) wait(ctx context.Context, run *slots.Run, until time.Duration, woken <-chan bool) (*slots.Run, *fault.Error) {
	timer := time.NewTimer(until)
	defer timer.Stop()
	for {
		select {
		case started := <-woken:
			if started {
				return run, nil
			}
		case <-timer.C:
			p.mu.Lock()
			p.limiter.Tick(time.Now())
			next := time.Until(run.Until())
			p.mu.Unlock()
			timer.Reset(max(next, time.Millisecond))
			continue
		case <-ctx.Done():
			p.release(run)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		return nil, overloaded(p.limiter.Estimate(run.Priority))
	}
}

func overloaded(wait time.Duration) *fault.Error {
	return fault.New(fault.KindOverloaded, "no slot of a server becomes free in time").WithWait(max(wait, retry.MinWait))
}

// refusal returns the error for a request that the server cannot take at all, or nil.
// The caller holds p.mu.
func (p *serverProxy) refusal(r call.Request) *fault.Error {
	switch {
	case p.crash.unknown.Load():
		return fault.New(fault.KindNoServer, "node %s does not know yet which requests crash servers", p.Node).WithWait(retry.MinWait)
	case p.server.ID == "" || p.down:
		return fault.New(fault.KindNoServer, "no server runs beside node %s", p.Node).WithWait(retry.MinWait)
	case r.Service != p.backend().Service:
		return fault.New(fault.KindNoServer, "the server beside node %s is of service %q", p.Node, p.backend().Service)
	case p.server.State != roster.Ready:
		return fault.New(fault.KindDraining, "server %s is leaving", p.server.ID).WithWait(retry.MinWait)
	}
	return nil
}

// run sends the request to the server. A request that is not idempotent goes on when
// its caller disconnects: a half-executed order is worse than an unread answer.
func (p *serverProxy) run(ctx context.Context, addr string, r call.Request) (*call.Answer, *fault.Error) {
	if !r.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(answerGrace))
	answer, err := p.pool.Do(ctx, addr, r)
	if err != nil {
		cancel()
		failure := fault.As(err)
		if failure.Kind == fault.KindNoServer {
			p.markDown()
		}
		return nil, failure
	}
	if answer.Body == nil {
		cancel()
		return answer, nil
	}
	answer.Body = &releasingBody{readCloser: answer.Body, release: cancel}
	return answer, nil
}

// answerGrace is how long after the deadline an answer is still awaited: a server
// that stops at the deadline answers shortly after it.
const answerGrace = 300 * time.Millisecond

func (p *serverProxy) leave(run *slots.Run, answer *call.Answer, failure *fault.Error, callFailed bool) {
	succeeded := failure == nil && answer.Outcome != fault.Refused && answer.Status < http.StatusInternalServerError
	// A missed deadline counts as a failure of the server; a caller that disconnected
	// before its deadline and a failed call to another service do not.
	callerLeft := failure != nil && failure.Kind == fault.KindDeadline && time.Now().Before(run.Deadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Leave(run, succeeded, time.Now())
	wasUnhealthy := p.limiter.Health.Unhealthy()
	if succeeded || !callerLeft && !callFailed {
		p.limiter.Health.Observe(!succeeded)
	}
	if unhealthy := p.limiter.Health.Unhealthy(); unhealthy != wasUnhealthy {
		p.Log.WithField("server", p.server.ID).WithField("ailing", unhealthy).WithField("failed", p.limiter.Health.FailureRate()).
			Warn("health of the backend server changed")
	}
}

// load returns the load figures that are sent with answers.
func (p *serverProxy) load() call.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limiter.Load(time.Now())
	return call.Load{
		InFlight: l.Running, Queued: l.Waiting, Slots: l.Slots, Limit: l.Limit, Slowdown: l.Slowdown, SlowFor: l.SlowFor, Wait: l.Wait, Unhealthy: p.limiter.Health.Unhealthy(),
		Draining: p.server.State != roster.Ready || p.down, Backlog: p.uplink.Transfer(0, time.Now()),
	}
}

// observe records the load that the server reported with an answer.
func (p *serverProxy) observe(load backend.ServerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.noSlowdown = load.Slowdown == 0
	p.limiter.Slowdown.Observe(load.Slowdown, now)
	p.limiter.Tick(now)
	if load.Slots > 0 {
		p.limiter.Limit.SetSlots(load.Slots)
		p.limiter.Limit.Suggest(p.suggestedLimit)
	}
}

// summary returns the measurements of the slots for other nodes of the service.
func (p *serverProxy) summary() slots.Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Limit.Summary()
}

// setPeerSummaries sets the measurements of other nodes of the service.
func (p *serverProxy) setPeerSummaries(others []slots.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.Limit.SetOthers(others)
}

// suggestLimit sets a concurrency limit that was found earlier. It takes effect once
// the number of slots is known.
func (p *serverProxy) suggestLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suggestedLimit = limit
	p.limiter.Limit.Suggest(limit)
}

// releasingBody calls release once when the body is closed.
type releasingBody struct {
	readCloser
	release func()
	once    sync.Once
}

type readCloser interface {
	Read(p []byte) (int, error)
	Close() error
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	err := b.readCloser.Close()
	b.once.Do(b.release)
	return err
}
