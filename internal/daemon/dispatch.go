package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// dispatch is the way of one request to a backend server, over all attempts.
type dispatch struct {
	*entry
	request  call.Request
	attempts retry.Attempts
	// last is the error of the newest attempt that failed.
	last error
	// ran is set when an attempt may have run, so that the request as a whole
	// cannot be refused any more.
	ran atomic.Bool
}

// result is the end of one attempt.
type result struct {
	answer *call.Answer
	err    error
	// server is empty when no server was left to try.
	server string
}

// run returns the answer, or an error whose outcome holds for all attempts.
func (d *dispatch) run(ctx context.Context) (*call.Answer, error) {
	start := time.Now()
	answer, err := d.try(ctx)
	if err == nil {
		d.learn(start)
		return answer, nil
	}
	f := fault.As(err)
	if f.Outcome == fault.Refused && d.ran.Load() {
		f = f.WithOutcome(fault.Unknown)
	}
	if f.Outcome != fault.Refused && ctx.Err() == nil {
		d.learn(start)
	}
	return nil, f
}

// learn records the latency over all attempts. What was refused or given up by
// the caller tells nothing about it.
func (d *dispatch) learn(start time.Time) {
	if d.request.Idempotent {
		d.hedger.Observe(d.request.Service, d.request.Class, time.Since(start))
	}
}

func (d *dispatch) try(ctx context.Context) (*call.Answer, error) {
	action := evidence.Place
	for {
		res := d.attempt(ctx, action)
		if res.server == "" {
			return nil, d.nobody(d.request, d.last)
		}
		cause := d.cause(res)
		if cause == retry.Final || ctx.Err() != nil || !d.attempts.Retry(&d.retries, d.request.Idempotent, cause, time.Now()) {
			return res.answer, res.err
		}
		res.drop()
		d.last = res.err
		action = evidence.Retry
		if cause.NotRun() {
			action = evidence.Handover
		}
	}
}

// attempt sends the request once; the first send of an idempotent request may
// get a second one beside it.
func (d *dispatch) attempt(ctx context.Context, action evidence.Action) result {
	if action != evidence.Place {
		return d.send(ctx, action)
	}
	r := &d.request
	delays, ok := d.hedger.Delays(r.Service, r.Class, d.limits.Hedges(r.Service))
	if !ok || !r.Idempotent {
		return d.send(ctx, action)
	}
	return d.hedged(ctx, delays)
}

// send places and sends the request once.
func (d *dispatch) send(ctx context.Context, action evidence.Action) result {
	a, ok := d.choose(d.request, d.attempts.Tried(nil), action)
	if !ok {
		return result{}
	}
	allowance, ok := d.attempts.Send(a.choice.ID)
	if !ok {
		d.routes.Done(d.request.Service, a.choice.ID, outcomeOf(ctx, context.Canceled), 0, time.Now())
		return result{}
	}
	ctx, cancel := context.WithCancel(ctx)
	answer, err := d.entry.send(ctx, a, d.request.WithAllowance(int(allowance.Retries)))
	res := result{answer: answer, err: err, server: a.choice.ID}
	if err == nil || fault.As(err).Outcome != fault.Refused {
		d.ran.Store(true)
	}
	if err != nil {
		cancel()
		return res
	}
	d.attempts.Answer(a.choice.ID, uint8(max(answer.Allowance, 0)))
	answer.Body = &releasingBody{ReadCloser: answer.Body, release: cancel}
	return res
}

// hedged sends the request, and a second time when no answer has come after
// one of the delays. The first good answer wins and the other attempt is
// cancelled.
func (d *dispatch) hedged(ctx context.Context, delays retry.HedgeDelays) result {
	results := make(chan result, 2)
	first, cancelFirst := context.WithCancel(ctx)
	go func() { results <- d.send(first, evidence.Place) }()
	if res, ok := d.await(results, delays); ok {
		return res.ending(cancelFirst)
	}
	second, cancelSecond := context.WithCancel(ctx)
	go func() { results <- d.send(second, evidence.Hedge) }()
	cancels := func() {
		cancelFirst()
		cancelSecond()
	}
	res := <-results
	if res.server == "" || d.cause(res) != retry.Final || res.err != nil {
		other := <-results
		if other.server == "" {
			return res.ending(cancels) // there was no server for the other one
		}
		res.drop()
		return other.ending(cancels)
	}
	// The loser's context ends now, the winner's when its answer was read.
	go func() { (<-results).drop() }()
	if res.server == d.attempts.Tried(nil)[0] {
		cancelSecond()
		return res.ending(cancelFirst)
	}
	cancelFirst()
	return res.ending(cancelSecond)
}

// await returns the result of the first attempt, or false when a second one may
// run beside it.
func (d *dispatch) await(results <-chan result, delays retry.HedgeDelays) (result, bool) {
	start := time.Now()
	for turn, delay := range delays {
		timer := time.NewTimer(delay - time.Since(start))
		select {
		case res := <-results:
			timer.Stop()
			return res, true
		case <-timer.C:
		}
		if d.mayHedge(turn, time.Now()) {
			return result{}, false
		}
	}
	return <-results, true
}

func (d *dispatch) mayHedge(turn int, now time.Time) bool {
	tried := d.attempts.Tried(nil)
	if len(tried) == 0 || d.crash.suspect(d.request) {
		return false
	}
	return d.attempts.Hedge(&d.hedger, retry.HedgeCall{
		Service: d.request.Service, Idempotent: d.request.Idempotent, DelayIndex: turn,
		Suspect: d.routes.Suspect(d.request.Service, tried[0], now),
	}, now)
}

// ending returns the result with a further call when its answer was read.
func (r result) ending(cancel context.CancelFunc) result {
	if r.answer == nil {
		cancel()
		return r
	}
	r.answer.Body = &releasingBody{ReadCloser: r.answer.Body, release: cancel}
	return r
}

// drop gives up an answer that is not used.
func (r result) drop() {
	if r.answer != nil {
		_ = r.answer.Body.Close()
	}
}

// cause says whether and why an attempt invites another one.
func (d *dispatch) cause(res result) retry.Cause {
	if res.err != nil {
		return retry.CauseOf(fault.As(res.err))
	}
	switch res.answer.Status {
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return retry.Failed
	default:
		return retry.Final
	}
}
