package mesh

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/chain"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// dispatch places one request on a server, over all its sends.
type dispatch struct {
	*dispatcher
	request call.Request
	// source is a call for one of the local backend server.
	source chain.Source
	// retried is set if the caller has been waiting since an earlier attempt.
	retried bool
	// attempts is how many servers the request may reach.
	attempts int

	start time.Time
	sends int
	// open holds the sends that run beside others.
	open openSends
	// waiting is set while the result of the last send is awaited beside open ones.
	waiting bool
	// reserving is set if that send only reserves a slot.
	reserving bool
	// exhausted is set when the request must not be sent again.
	exhausted bool
	// reached counts the servers that the request has reached.
	reached int
	// unacknowledged counts the nodes that did not acknowledge the request.
	unacknowledged int
	search         placement.Search
	// ran is set when the request may have run.
	ran bool
	// calls counts the calls by service that were made for the request.
	calls map[string]int
	last  *fault.Error
	// resendGranted is set when the resend window has allowed the next send, and resends
	// counts the sends that it has allowed.
	resendGranted bool
	resends       int
	// grants holds the charges of allowed sends that have not been used, or whose sends
	// reached no server. A reservation uses none.
	grants []retry.Charge
	// fallback is an answer with an error status, which is delivered if no later
	// send is answered better.
	fallback *call.Answer
}

// run returns the answer, or an error whose outcome holds for all sends.
func (d *dispatch) run(ctx context.Context) (*call.Answer, error) {
	d.start = time.Now()
	if d.source == chain.Client {
		d.countRequest(d.request.Service, d.start)
	}
	defer d.end()
	for ctx.Err() == nil {
		s, ok := d.next(ctx)
		if !ok {
			break
		}
		if answer, done := d.evaluate(ctx, s); done {
			return answer, nil
		}
		if !d.waiting {
			d.exhausted = d.final(ctx)
		}
	}
	return d.finish(ctx)
}

// end ends the open sends and takes back the grants that are left.
func (d *dispatch) end() {
	d.open.cancelAll()
	for _, c := range d.grants {
		d.refundResend(c, false)
	}
	d.grants = nil
}

// next returns the result of the next send, or of an open one. ok is false when none is
// left.
func (d *dispatch) next(ctx context.Context) (s send, ok bool) {
	s, ok = d.sendNext(ctx)
	for ok && s.result.slot != nil {
		s, ok = d.useSlot(ctx, s)
	}
	return s, ok
}

// sendNext is like next, but the result may be a reserved slot.
func (d *dispatch) sendNext(ctx context.Context) (s send, ok bool) {
	if d.exhausted || d.waiting || d.sends >= maxSends {
		return d.open.next(ctx)
	}
	choice, last, ok := d.choose(time.Now())
	if !ok {
		return d.open.next(ctx)
	}
	d.sends++
	s = send{number: d.sends, choice: choice, last: last, at: time.Now(), reserving: reserves(d.request, choice)}
	r := d.request.WithTarget("", last)
	return d.begin(ctx, s, func(ctx context.Context) sendResult { return d.send(ctx, r, choice) })
}

// begin runs a send and returns its result, or that of an open one.
func (d *dispatch) begin(ctx context.Context, s send, run func(ctx context.Context) sendResult) (send, bool) {
	if n := len(d.grants); n > 0 && !s.reserving {
		s.charge, d.grants = d.grants[n-1], d.grants[:n-1]
	}
	if d.open.idle() {
		s.result = run(ctx)
		return s, true
	}
	d.waiting, d.reserving = true, s.reserving
	d.open.start(ctx, s, run)
	return d.open.next(ctx)
}

// useSlot sends the body to the node that has reserved a slot first, and gives up the
// other reservations. It returns the next result.
func (d *dispatch) useSlot(ctx context.Context, s send) (send, bool) {
	slot := s.result.slot
	if ctx.Err() != nil || s.late && d.waiting && !d.reserving {
		slot.release() // the request may be running at another server
		return d.open.next(ctx)
	}
	d.open.cancelReservations()
	d.waiting = false
	r := d.request.WithTarget("", s.last)
	s.late, s.reserving, s.result = false, false, sendResult{}
	return d.begin(ctx, s, func(ctx context.Context) sendResult { return d.sendBody(ctx, r, slot) })
}

// choose picks a server. last is set when no other server is left, so that the
// request should be queued there.
func (d *dispatch) choose(now time.Time) (choice placement.Choice, last, ok bool) {
	var buf [32]placement.Server
	return d.search.Next(&d.Costs, d.directory.servers(d.request.Service, buf[:0]), d.placementRequest(), now)
}

func (d *dispatch) placementRequest() placement.Request {
	return placement.Request{
		Bytes: len(d.request.Body) + usualAnswerBytes, LargeAnswer: d.sizes.mean(d.request.Route) >= minLargeAnswer, Work: d.usualDuration(),
	}
}

func (d *dispatch) usualDuration() time.Duration {
	d.serverProxy.mu.Lock()
	defer d.serverProxy.mu.Unlock()
	return d.serverProxy.limiter.UsualDuration(d.request.Route)
}

// evaluate processes the result of one send. It returns true with the answer if the
// caller gets it.
func (d *dispatch) evaluate(ctx context.Context, s send) (*call.Answer, bool) {
	node, result := s.choice.Server.ID, s.result
	switch {
	case !s.late:
		d.waiting = false
	case !s.reserving:
		d.unacknowledged--
	}
	d.logSend(s)
	if result.await != nil {
		s.late = true
		d.open.start(ctx, s, func(ctx context.Context) sendResult { return d.observe(ctx, node, result.await) })
		result.unacknowledged = !s.reserving
	}
	if result.answer != nil {
		d.serverReached(true)
		d.countCalls(result.calls.Calls)
		// Another server would make the call again that has just failed.
		if result.answer.Status < http.StatusInternalServerError || result.calls.Failed || result.calls.MayHaveFailed {
			return result.answer, true
		}
		if d.open.count == 0 {
			if !d.mayResend(ctx) {
				return result.answer, true
			}
			d.resendGranted = true
		}
		d.last = fault.New(fault.KindServerLost, "the backend server failed with status %d", result.answer.Status)
		d.keepFallback(result.answer)
		d.search.Failed(node)
		return nil, false
	}
	d.last = result.err
	switch {
	case result.err.Kind == fault.KindHandedBack:
		d.search.HandedBack(node)
		d.giveBack(s.charge)
		return nil, false
	case result.unacknowledged:
		d.unacknowledged++
	case result.ran:
		d.serverReached(true)
	case result.err.Kind == fault.KindShed:
		d.serverReached(false)
		d.refundResend(s.charge, true)
	default:
		d.giveBack(s.charge)
	}
	d.search.Failed(node)
	return nil, false
}

// giveBack keeps the grant of a send that reached no server for the next one.
func (d *dispatch) giveBack(c retry.Charge) {
	if !c.IsZero() {
		d.grants = append(d.grants, c)
	}
}

// countCalls records the calls of a run that has answered.
func (d *dispatch) countCalls(calls map[string]int) {
	d.runAnswered(d.request.Route, calls)
	for service, n := range calls {
		if d.calls == nil {
			d.calls = make(map[string]int)
		}
		d.calls[service] += n
	}
}

// serverReached counts a server that the request has reached. Whether another one may get
// it is decided anew, so a slot that is still reserved for it must not be used.
func (d *dispatch) serverReached(ran bool) {
	d.reached++
	d.ran = d.ran || ran
	d.open.cancelReservations()
	if d.reserving {
		d.waiting = false
	}
}

// final reports whether the request must not be sent again.
func (d *dispatch) final(ctx context.Context) bool {
	if d.resendGranted {
		d.resendGranted = false
		return false
	}
	switch {
	case d.last.Kind == fault.KindQuarantined:
		return true // the other nodes of the service know the incidents too
	case d.last.Kind == fault.KindOverloaded:
		var buf [32]placement.Server
		return !d.search.HasCapacityElsewhere(&d.Costs, d.directory.servers(d.request.Service, buf[:0]), d.placementRequest(), time.Now())
	case d.last.Kind == fault.KindShed:
		return d.serversUsed() >= d.attempts || !d.resend(d.shedShare(), time.Now())
	case d.last.Outcome == fault.Refused:
		// The send has reached no server, but an earlier one may have.
		return d.resends < d.reached && !d.mayResend(ctx)
	case d.unacknowledged > 0 && d.reached == 0:
		// Nothing shows that a server has the request, so sending it elsewhere does not
		// count in the resend window. Only idempotent requests get here.
		return d.serversUsed() >= d.attempts
	}
	return !d.mayResend(ctx)
}

// serversUsed returns how many servers may have the request. A node that did not
// acknowledge it may only have been slow.
func (d *dispatch) serversUsed() int { return d.reached + d.unacknowledged }

// mayHaveRun reports whether a server may run the request or have run it.
func (d *dispatch) mayHaveRun() bool {
	return d.ran || d.unacknowledged > 0 || d.waiting && !d.reserving
}

// mayResend reports whether a request that may have run may be sent again.
func (d *dispatch) mayResend(ctx context.Context) bool {
	now := time.Now()
	return d.request.Idempotent && ctx.Err() == nil && d.serversUsed() < d.attempts &&
		now.Add(d.usualDuration()).Before(d.request.Deadline) && d.resend(resendShare, now)
}

// shedShare returns the share of the limit on resends that the request may use after
// its server has refused it.
func (d *dispatch) shedShare() float64 {
	if d.retried || d.source == chain.Call {
		return lastTryShare
	}
	return resendShare
}

// resend takes a resend within a share of the limit, unless a grant is left.
func (d *dispatch) resend(share float64, now time.Time) bool {
	if len(d.grants) > 0 {
		return true
	}
	c, ok := d.takeResend(d.request, share, now)
	if ok {
		d.grants = append(d.grants, c)
		d.resends++
	}
	return ok
}

// keepFallback keeps an answer with an error status in case that no later send is
// answered better.
func (d *dispatch) keepFallback(answer *call.Answer) {
	if d.fallback != nil {
		_ = d.fallback.Open().Close()
	}
	d.fallback = answer
}

// fallbackArrived reads the fallback into memory and reports whether it is complete. The
// end of the request cuts off what has not arrived yet.
func (d *dispatch) fallbackArrived() bool {
	body := d.fallback.Open()
	defer body.Close()
	var err error
	d.fallback.Buffered, err = io.ReadAll(body)
	d.fallback.Body = nil
	return err == nil
}

// finish returns the answer with an error status that was kept, or the error of the
// request as a whole.
func (d *dispatch) finish(ctx context.Context) (*call.Answer, error) {
	if d.fallback != nil && (ctx.Err() == nil || d.fallbackArrived()) {
		return d.fallback, nil
	}
	err := d.last
	switch {
	case ctx.Err() != nil:
		err = fault.New(fault.KindDeadline, "no answer before the deadline, or the caller left")
		if !d.mayHaveRun() {
			err = err.WithOutcome(fault.Refused)
		}
	case err == nil:
		err = fault.New(fault.KindNoServer, "no backend server of service %q is known", d.request.Service)
	}
	if d.mayHaveRun() && err.Outcome == fault.Refused {
		err = fault.New(fault.KindServerLost, "%s", err.Detail)
	}
	if !d.mayHaveRun() && err.Outcome == fault.Refused && err.Kind != fault.KindDeadline && err.Kind != fault.KindQuarantined {
		err = overloaded(retry.Jitter(err.Wait, nil)).WithOutcome(fault.Refused)
		if d.last != nil {
			err.Detail = d.last.Detail
		}
	}
	d.logFailure(err)
	return nil, err
}

// logSend logs a send: the load figures that decided the placement, their age, and
// the result. The server's figures after the send show whether the decision was
// right.
func (d *dispatch) logSend(s send) {
	choice, result := s.choice, s.result
	age := time.Duration(-1)
	if choice.Known {
		age = s.at.Sub(choice.Server.Seen)
	}
	fields := log.Fields{
		"id": d.request.ID, "route": d.request.Route, "to": choice.Server.ID, "send": s.number, "late": s.late,
		"running": choice.Server.Running, "limit": choice.Server.Limit, "pace": choice.Server.Slowdown, "age": age,
		"bytes": len(d.request.Body), "last": s.last, "took": time.Since(s.at),
		"running_after": result.load.InFlight, "limit_after": result.load.Limit, "pace_after": result.load.Slowdown,
	}
	if result.answer != nil {
		fields["status"] = result.answer.Status
		d.Log.WithFields(fields).Debug("answered")
		return
	}
	fields["outcome"], fields["ran"] = string(result.err.Kind), result.err.Outcome.String()
	d.Log.WithFields(fields).Debug("not answered")
}

func (d *dispatch) logFailure(err *fault.Error) {
	d.Log.WithField("id", d.request.ID).WithField("route", d.request.Route).WithField("service", d.request.Service).
		WithField("kind", string(err.Kind)).WithField("status", err.Status).WithField("outcome", err.Outcome.String()).
		WithField("sends", d.sends).WithField("reached", d.reached).WithField("took", time.Since(d.start)).
		WithField("left", time.Until(d.request.Deadline)).WithField("wait", err.Wait).WithField("cause", err.Detail).Warn("request failed")
}
