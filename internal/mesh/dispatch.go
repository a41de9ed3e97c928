package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
)

// dispatch is the way of one request to a server, over all sends.
type dispatch struct {
	*entry
	request call.Request
	// attempts bounds the servers that the request may reach.
	attempts int

	start time.Time
	// sent is when the last send began.
	sent  time.Time
	sends int
	// reached counts the servers that the request has reached.
	reached int
	// silent counts the nodes that did not acknowledge the request.
	silent int
	search placement.Search
	// ran is set when the request may have run.
	ran  bool
	last *fault.Error
	// granted is set when the bound on second sends has allowed the next one.
	granted bool
	// spare is an answer that is delivered if nothing better comes.
	spare *call.Answer
}

// run returns the answer, or an error whose outcome holds for all sends.
func (d *dispatch) run(ctx context.Context) (*call.Answer, error) {
	d.start = time.Now()
	d.count(d.request.Service, d.start)
	for d.sends < maxSends {
		if ctx.Err() != nil {
			break
		}
		choice, last, ok := d.choose(time.Now())
		if !ok {
			break
		}
		d.sends++
		d.sent = time.Now()
		out := d.send(ctx, d.request.WithTarget("", last), choice)
		if answer, done := d.judge(ctx, choice, last, out); done {
			return answer, nil
		}
		if d.ended(ctx) {
			break
		}
	}
	return d.finish(ctx)
}

// choose picks a server, and tells whether the request should wait there.
func (d *dispatch) choose(now time.Time) (choice placement.Choice, last, ok bool) {
	var buf [32]placement.Server
	return d.search.Next(&d.Costs, d.directory.servers(d.request.Service, buf[:0]), d.wanted(), now)
}

func (d *dispatch) wanted() placement.Request {
	return placement.Request{Bytes: len(d.request.Body) + usualAnswer, Work: d.work()}
}

func (d *dispatch) work() time.Duration {
	d.far.mu.Lock()
	defer d.far.mu.Unlock()
	return d.far.gate.UsualDuration(d.request.Route)
}

// judge takes the outcome of one send. It returns true with the answer for the
// caller.
func (d *dispatch) judge(ctx context.Context, choice placement.Choice, last bool, out outcome) (*call.Answer, bool) {
	node := choice.Server.ID
	d.note(choice, last, out)
	if out.answer != nil {
		d.reached++
		d.ran = true
		if out.answer.Status < http.StatusInternalServerError || !d.mayRepeat(ctx) {
			return out.answer, true
		}
		d.granted = true
		d.keep(out.answer)
		d.search.Failed(node)
		return nil, false
	}
	d.last = out.err
	switch {
	case out.err.Kind == fault.KindHandedBack:
		d.search.HandedBack(node)
		return nil, false
	case out.silent:
		d.ran = true
		d.silent++
	case out.ran:
		d.reached++
		d.ran = true
	case out.err.Kind == fault.KindShed:
		d.reached++
	}
	d.search.Failed(node)
	return nil, false
}

// ended reports whether the request must not be sent again.
func (d *dispatch) ended(ctx context.Context) bool {
	if d.granted {
		d.granted = false
		return false
	}
	switch {
	case d.last.Kind == fault.KindQuarantined:
		return true // the other nodes of the service have heard of the crashes too
	case d.last.Kind == fault.KindOverloaded:
		var buf [32]placement.Server
		return !d.search.HasCapacityElsewhere(&d.Costs, d.directory.servers(d.request.Service, buf[:0]), d.wanted(), time.Now())
	case d.last.Kind == fault.KindShed:
		return d.used() >= d.attempts || !d.again(d.request.Service, shedShare, time.Now())
	case d.last.Outcome == fault.Refused:
		return false // it has reached no server
	case d.silent > 0 && d.reached == 0:
		// Nothing shows that a server has the request, so sending it elsewhere takes
		// nothing from the bound on second sends. Only idempotent requests come here.
		return d.used() >= d.attempts
	}
	return !d.mayRepeat(ctx)
}

// used returns how many servers may have the request. A node that did not
// acknowledge it may have been slow only.
func (d *dispatch) used() int { return d.reached + d.silent }

// mayRepeat reports whether a request that may have run may be sent again.
func (d *dispatch) mayRepeat(ctx context.Context) bool {
	now := time.Now()
	return d.request.Idempotent && ctx.Err() == nil && d.used() < d.attempts &&
		now.Add(d.work()).Before(d.request.Deadline) && d.again(d.request.Service, rerunShare, now)
}

// keep holds a failed answer of a server for the case that nothing better comes.
func (d *dispatch) keep(answer *call.Answer) {
	if d.spare != nil {
		_ = d.spare.Open().Close()
	}
	d.spare = answer
}

// finish returns the error of the request as a whole.
func (d *dispatch) finish(ctx context.Context) (*call.Answer, error) {
	if d.spare != nil {
		return d.spare, nil
	}
	err := d.last
	switch {
	case ctx.Err() != nil:
		err = fault.New(fault.KindDeadline, "no answer before the deadline, or the caller left")
		if !d.ran {
			err = err.WithOutcome(fault.Refused)
		}
	case err == nil:
		err = fault.New(fault.KindNoServer, "no backend server of service %q is known", d.request.Service)
	}
	if d.ran && err.Outcome == fault.Refused {
		err = fault.New(fault.KindServerLost, "%s", err.Detail)
	}
	if !d.ran && err.Outcome == fault.Refused && err.Kind != fault.KindDeadline && err.Kind != fault.KindQuarantined {
		err = overloaded(retry.Jitter(err.Wait, nil)).WithOutcome(fault.Refused)
		if d.last != nil {
			err.Detail = d.last.Detail
		}
	}
	d.logEnd(err)
	return nil, err
}

// note logs a send: what decided it, how old that was, and what came of it. The
// figures of the server after it tell whether the decision was right.
func (d *dispatch) note(choice placement.Choice, last bool, out outcome) {
	age := time.Duration(-1)
	if choice.Known {
		age = d.sent.Sub(choice.Server.Seen)
	}
	fields := log.Fields{
		"id": d.request.ID, "route": d.request.Route, "to": choice.Server.ID, "send": d.sends,
		"running": choice.Server.Running, "limit": choice.Server.Limit, "pace": choice.Server.Slowdown, "age": age,
		"bytes": len(d.request.Body), "last": last, "took": time.Since(d.sent),
		"running_after": out.load.InFlight, "limit_after": out.load.Limit, "pace_after": out.load.Slowdown,
	}
	if out.answer != nil {
		fields["status"] = out.answer.Status
		d.Log.WithFields(fields).Debug("answered")
		return
	}
	fields["outcome"], fields["ran"] = string(out.err.Kind), out.err.Outcome.String()
	d.Log.WithFields(fields).Debug("not answered")
}

func (d *dispatch) logEnd(err *fault.Error) {
	d.Log.WithField("id", d.request.ID).WithField("route", d.request.Route).WithField("service", d.request.Service).
		WithField("kind", string(err.Kind)).WithField("status", err.Status).WithField("outcome", err.Outcome.String()).
		WithField("sends", d.sends).WithField("reached", d.reached).WithField("took", time.Since(d.start)).
		WithField("left", time.Until(d.request.Deadline)).WithField("wait", err.Wait).WithField("cause", err.Detail).Warn("request failed")
}
