package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// far runs requests on the backend server beside this node. All that reaches
// the server passes here, so the last word on its slots and on its leaving is
// said here.
type far struct {
	*Options
	pool  backend.Pool
	crash crashWatch

	mu     sync.Mutex
	gate   slots.Limiter
	server roster.Server
	// lost is set while the server accepts no connections.
	lost bool
	// asked is when the last request came, probing whether probes are under way.
	asked   time.Time
	probing bool
	// untold is set when the server's answers do not tell its pace.
	untold bool
	health string
	// looking is closed by the answer to the probe that is under way.
	looking chan struct{}
	// probes bounds the probes of the server.
	probes rate.Limiter
	// suggested is a limit on concurrency that was found before, or zero.
	suggested int
	// tickets holds the slots that are kept for requests whose bodies are on the way.
	tickets    map[uint64]*slots.Run
	lastTicket uint64
	// changed is called, without the lock, when other nodes need to know more.
	changed func()
}

// outcome is how the attempt of one request ended.
type outcome struct {
	answer *call.Answer
	err    *fault.Error
	load   call.Load
	// ran is set when the request has reached the server and may have run.
	ran bool
	// silent is set when the node beside the server did not even acknowledge the
	// request. It may still run, but most likely its host is gone.
	silent bool
	// ticket names a slot that is kept for the request.
	ticket uint64
}

// serve runs the request, lets it wait, or turns it away. A ticket names the slot
// that was reserved for it.
func (f *far) serve(ctx context.Context, r call.Request, ticket uint64) outcome {
	mark := quarantine.Fingerprint(r.Fingerprint())
	run := f.redeem(ticket)
	if run != nil {
		f.awaitPace(ctx, run)
	} else {
		err := f.crash.check(r, mark)
		if err == nil {
			run, err = f.enter(ctx, r)
		}
		if err != nil {
			return outcome{err: err, load: f.load()}
		}
	}
	start, err := f.crash.begin(ctx, r, mark)
	if err != nil {
		f.giveBack(run)
		return outcome{err: err, load: f.load()}
	}
	answer, failure := f.run(ctx, r)
	f.leave(run, answer, failure)
	if failure != nil && (failure.Kind == fault.KindServerLost || failure.Kind == fault.KindCutShort) {
		go f.broke(r, start)
	} else {
		f.crash.end(start, failure == nil && answer.Outcome != fault.Refused)
	}
	if failure != nil {
		return outcome{err: failure, load: f.load(), ran: failure.Outcome != fault.Refused}
	}
	if answer.Outcome == fault.Refused {
		f.rejected(answer)
		return outcome{load: f.load(), err: fault.New(fault.KindShed, "the backend server did not run the request: status %d", answer.Status)}
	}
	answer.Load = f.load()
	return outcome{answer: answer, load: answer.Load, ran: true}
}

// broke looks whether the server has crashed, after the connection of a request
// broke.
func (f *far) broke(r call.Request, start quarantine.Start) {
	f.mu.Lock()
	r.Target = f.server.ID
	f.mu.Unlock()
	if f.crash.failed(r, start) {
		f.unreachable()
	}
}

// giveBack frees the slot of a request that did not begin.
func (f *far) giveBack(run *slots.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Leave(run, false, time.Now())
}

// enter returns when the request may run, or an error when it will not.
func (f *far) enter(ctx context.Context, r call.Request) (*slots.Run, *fault.Error) {
	woken := make(chan bool, 1)
	now := time.Now()
	ask := slots.Request{
		Kind: r.Route, Priority: r.Priority, Objective: r.Due(), Deadline: r.Deadline, Last: r.Last,
		Wake: func(run bool) { woken <- run },
	}
	for {
		f.mu.Lock()
		f.watch(now)
		if err := f.refusal(r); err != nil {
			f.mu.Unlock()
			return nil, err
		}
		run, verdict := f.gate.Enter(ask, now)
		wait := f.gate.Estimate(r.Priority)
		var until time.Duration
		if verdict == slots.Wait {
			until = time.Until(run.Until())
		}
		f.mu.Unlock()
		switch verdict {
		case slots.Start:
			return run, nil
		case slots.HandBack:
			return nil, fault.New(fault.KindHandedBack, "the server is busy or slow at the moment").WithWait(wait)
		case slots.Refuse:
			return nil, overloaded(wait)
		case slots.Wait:
			return f.wait(ctx, run, until, woken)
		}
		f.freshen(ctx)
		ask.Probed, now = true, time.Now()
	}
}

func (f *far) wait(ctx context.Context, run *slots.Run, until time.Duration, woken <-chan bool) (*slots.Run, *fault.Error) {
	look := time.NewTimer(until)
	defer look.Stop()
	for {
		select {
		case started := <-woken:
			if started {
				return run, nil
			}
		case <-look.C:
			f.mu.Lock()
			f.gate.Tick(time.Now())
			again := time.Until(run.Until())
			f.mu.Unlock()
			look.Reset(max(again, time.Millisecond))
			continue
		case <-ctx.Done():
			f.giveBack(run)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		return nil, overloaded(f.gate.Estimate(run.Priority))
	}
}

func overloaded(wait time.Duration) *fault.Error {
	return fault.New(fault.KindOverloaded, "no slot of a server becomes free in time").WithWait(max(wait, retry.MinWait))
}

// refusal tells why the server takes no request at all.
func (f *far) refusal(r call.Request) *fault.Error {
	switch {
	case f.server.ID == "" || f.lost:
		return fault.New(fault.KindNoServer, "no server runs beside node %s", f.Node).WithWait(retry.MinWait)
	case r.Service != f.Service:
		return fault.New(fault.KindNoServer, "the server beside node %s is of service %q", f.Node, f.Service)
	case f.server.State != roster.Ready:
		return fault.New(fault.KindDraining, "server %s is leaving", f.server.ID).WithWait(retry.MinWait)
	}
	return nil
}

// run sends the request to the server. What may not be repeated goes on when
// its caller leaves: half an order is worse than an unread answer.
func (f *far) run(ctx context.Context, r call.Request) (*call.Answer, *fault.Error) {
	if !r.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(lateAnswer))
	f.mu.Lock()
	r.Target = f.server.ID
	f.mu.Unlock()
	answer, err := f.pool.Do(ctx, f.Server, r)
	if err != nil {
		cancel()
		failure := fault.As(err)
		if failure.Outcome == fault.Refused {
			f.unreachable()
		}
		return nil, failure
	}
	if answer.Body == nil {
		cancel()
		return answer, nil
	}
	answer.Body = &closingBody{readCloser: answer.Body, done: cancel}
	return answer, nil
}

// lateAnswer is how long after the deadline an answer is still awaited: a server
// that gives up at the deadline says so a moment later.
const lateAnswer = 300 * time.Millisecond

func (f *far) leave(run *slots.Run, answer *call.Answer, failure *fault.Error) {
	worked := failure == nil && answer.Outcome != fault.Refused && answer.Status < http.StatusInternalServerError
	// A caller that left says nothing of the server; a server that misses the
	// deadline of a request does.
	left := failure != nil && failure.Kind == fault.KindDeadline && time.Now().Before(run.Deadline)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Leave(run, worked, time.Now())
	ailing := f.gate.Health.Unhealthy()
	if !left {
		f.gate.Health.Observe(!worked)
	}
	if now := f.gate.Health.Unhealthy(); now != ailing {
		f.Log.WithField("server", f.server.ID).WithField("ailing", now).WithField("failed", f.gate.Health.FailureRate()).
			Warn("health of the backend server changed")
	}
}

// rejected learns from an answer that says the request was not run.
func (f *far) rejected(answer *call.Answer) {
	if answer.Status != http.StatusMisdirectedRequest {
		return
	}
	f.mu.Lock()
	id := f.server.ID
	f.server = roster.Server{}
	f.mu.Unlock()
	f.Log.WithField("server", id).Warn("another server has taken over the address")
	f.changed()
	go f.find()
}

// unreachable is called when the server accepts no connection.
func (f *far) unreachable() {
	f.mu.Lock()
	known := f.lost
	f.lost = true
	id := f.server.ID
	f.mu.Unlock()
	if known {
		return
	}
	f.Log.WithField("server", id).Warn("the backend server accepts no connection")
	go f.find()
}

// load returns the figures that ride on answers.
func (f *far) load() call.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.gate.Load(time.Now())
	return call.Load{
		InFlight: l.Running, Queued: l.Waiting, Slots: l.Slots, Limit: l.Limit, Slowdown: l.Slowdown, Wait: l.Wait, Unhealthy: f.gate.Health.Unhealthy(),
		Draining: f.server.State != roster.Ready || f.lost,
	}
}

// observe takes the load that the server tells.
func (f *far) observe(load backend.ServerLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.untold = load.Slowdown == 0
	f.gate.Slowdown.Observe(load.Slowdown, now)
	f.gate.Tick(now)
	if load.Slots > 0 {
		f.gate.Limit.SetSlots(load.Slots)
		f.gate.Limit.Suggest(f.suggested)
	}
}

// learned returns what other nodes of the service should know of the slots.
func (f *far) learned() slots.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.gate.Limit.Summary()
}

// learnFrom takes what other nodes of the service know of the slots.
func (f *far) learnFrom(others []slots.Summary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gate.Limit.SetOthers(others)
}

// suggest passes a limit that was found before; it holds once slots are known.
func (f *far) suggest(limit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suggested = limit
	f.gate.Limit.Suggest(limit)
}

// closingBody calls done once when the body is closed.
type closingBody struct {
	readCloser
	done func()
	once sync.Once
}

type readCloser interface {
	Read(p []byte) (int, error)
	Close() error
}

// Close implements io.Closer.
func (b *closingBody) Close() error {
	err := b.readCloser.Close()
	b.once.Do(b.done)
	return err
}
