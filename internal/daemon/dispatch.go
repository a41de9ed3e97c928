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

// dispatch places one request on a backend server, over all its attempts.
type dispatch struct {
	*dispatcher
	request  call.Request
	attempts retry.Attempts
	// last is the error of the newest attempt that failed.
	last error
	// ran is set when an attempt may have run, so that the outcome of the whole
	// request is not fault.Refused.
	ran atomic.Bool
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	answer *call.Answer
	err    error
	// server is empty if no server was left to try.
	server string
}

// run returns the answer, or an error whose outcome holds for all attempts.
func (d *dispatch) run(ctx context.Context) (*call.Answer, error) {
	start := time.Now()
	answer, err := d.runAttempts(ctx)
	if err == nil {
		d.observeLatency(start)
		return answer, nil
	}
	f := fault.As(err)
	if f.Outcome == fault.Refused && d.ran.Load() {
		f = f.WithOutcome(fault.Unknown)
	}
	if f.Outcome != fault.Refused && ctx.Err() == nil {
		d.observeLatency(start)
	}
	return nil, f
}

// observeLatency records the latency over all attempts. It is not called for requests
// that were refused or that the caller gave up, because their latency does not
// represent the service.
func (d *dispatch) observeLatency(start time.Time) {
	if d.request.Idempotent {
		d.hedger.Observe(d.request.Service, d.request.Class, time.Since(start))
	}
}

func (d *dispatch) runAttempts(ctx context.Context) (*call.Answer, error) {
	action := evidence.Place
	for {
		res := d.attempt(ctx, action)
		if res.server == "" {
			return nil, d.noServerError(d.request, d.last)
		}
		retryCause := d.retryCause(res)
		if retryCause == retry.Final || ctx.Err() != nil || !d.attempts.Retry(&d.retries, d.request.Idempotent, retryCause, time.Now()) {
			return res.answer, res.err
		}
		res.discard()
		d.last = res.err
		action = evidence.Retry
		if retryCause.NotRun() {
			action = evidence.Handover
		}
	}
}

// attempt sends the request once; the first send of an idempotent request may be
// hedged.
func (d *dispatch) attempt(ctx context.Context, action evidence.Action) attemptResult {
	if action != evidence.Place {
		return d.send(ctx, action)
	}
	r := &d.request
	delays, ok := d.hedger.Delays(r.Service, r.Class, d.serviceLimits.Hedges(r.Service))
	if !ok || !r.Idempotent {
		return d.send(ctx, action)
	}
	return d.sendHedged(ctx, delays)
}

// send places and sends the request once.
func (d *dispatch) send(ctx context.Context, action evidence.Action) attemptResult {
	a, ok := d.choose(d.request, d.attempts.Tried(nil), action)
	if !ok {
		return attemptResult{}
	}
	allowance, ok := d.attempts.Send(a.choice.ID)
	if !ok {
		d.routes.Done(d.request.Service, a.choice.ID, outcomeOf(ctx, context.Canceled), 0, time.Now())
		return attemptResult{}
	}
	ctx, cancel := context.WithCancel(ctx)
	answer, err := d.dispatcher.send(ctx, a, d.request.WithAllowance(int(allowance.Retries)))
	res := attemptResult{answer: answer, err: err, server: a.choice.ID}
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

// sendHedged sends the request, and sends it a second time if there is no answer after
// one of the delays. The first good answer wins and the other attempt is cancelled.
func (d *dispatch) sendHedged(ctx context.Context, delays retry.HedgeDelays) attemptResult {
	results := make(chan attemptResult, 2)
	first, cancelFirst := context.WithCancel(ctx)
	go func() { results <- d.send(first, evidence.Place) }()
	if res, ok := d.awaitFirst(results, delays); ok {
		return res.withCancel(cancelFirst)
	}
	second, cancelSecond := context.WithCancel(ctx)
	go func() { results <- d.send(second, evidence.Hedge) }()
	cancels := func() {
		cancelFirst()
		cancelSecond()
	}
	res := <-results
	if res.server == "" || d.retryCause(res) != retry.Final || res.err != nil {
		other := <-results
		if other.server == "" {
			return res.withCancel(cancels) // there was no server for the other attempt
		}
		res.discard()
		return other.withCancel(cancels)
	}
	// The losing attempt's context ends now, the winning one's when its answer has
	// been read.
	go func() { (<-results).discard() }()
	if res.server == d.attempts.Tried(nil)[0] {
		cancelSecond()
		return res.withCancel(cancelFirst)
	}
	cancelFirst()
	return res.withCancel(cancelSecond)
}

// awaitFirst returns the result of the first attempt, or false if a hedge may be sent
// now.
func (d *dispatch) awaitFirst(results <-chan attemptResult, delays retry.HedgeDelays) (attemptResult, bool) {
	start := time.Now()
	for delayIndex, delay := range delays {
		timer := time.NewTimer(delay - time.Since(start))
		select {
		case res := <-results:
			timer.Stop()
			return res, true
		case <-timer.C:
		}
		if d.mayHedge(delayIndex, time.Now()) {
			return attemptResult{}, false
		}
	}
	return <-results, true
}

func (d *dispatch) mayHedge(delayIndex int, now time.Time) bool {
	tried := d.attempts.Tried(nil)
	if len(tried) == 0 || d.suspects.suspect(d.request) {
		return false
	}
	return d.attempts.Hedge(&d.hedger, retry.HedgeCall{
		Service: d.request.Service, Idempotent: d.request.Idempotent, DelayIndex: delayIndex,
		Suspect: d.routes.Suspect(d.request.Service, tried[0], now),
	}, now)
}

// withCancel returns the result with a cancel function that is called when its answer
// has been read, or now if there is none.
func (r attemptResult) withCancel(cancel context.CancelFunc) attemptResult {
	if r.answer == nil {
		cancel()
		return r
	}
	r.answer.Body = &releasingBody{ReadCloser: r.answer.Body, release: cancel}
	return r
}

// discard closes an answer that is not used.
func (r attemptResult) discard() {
	if r.answer != nil {
		_ = r.answer.Body.Close()
	}
}

// retryCause returns why an attempt may be followed by another one, or retry.Final.
func (d *dispatch) retryCause(res attemptResult) retry.Cause {
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
