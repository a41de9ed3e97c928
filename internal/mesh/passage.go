package mesh

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
)

// passage is the way of one request to a server, over all sends.
type passage struct {
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
	// back lists servers that handed the request back, failed those that will not
	// be tried again.
	back, failed []string
	// ran is set when the request may have run.
	ran  bool
	last *fault.Error
	// granted is set when the bound on second sends has allowed the next one.
	granted bool
	// spare is an answer that is delivered if nothing better comes.
	spare *call.Answer
}

// run returns the answer, or an error whose outcome holds for all sends.
func (p *passage) run(ctx context.Context) (*call.Answer, error) {
	p.start = time.Now()
	p.count(p.request.Service, p.start)
	for p.sends < maxSends {
		if ctx.Err() != nil {
			break
		}
		choice, last, ok := p.choose(time.Now())
		if !ok {
			break
		}
		p.sends++
		p.sent = time.Now()
		out := p.send(ctx, p.request.WithTarget("", last), choice)
		if answer, done := p.judge(ctx, choice, last, out); done {
			return answer, nil
		}
		if p.ended(ctx) {
			break
		}
	}
	return p.finish(ctx)
}

// choose picks a server, and tells whether the request should wait there.
func (p *passage) choose(now time.Time) (choice placement.Choice, last, ok bool) {
	var buf [32]placement.Server
	servers := p.directory.servers(p.request.Service, buf[:0])
	servers = p.without(servers)
	ask := placement.Request{Bytes: len(p.request.Body) + usualAnswer, Work: p.work(), Tried: p.back}
	choice, ok = p.Costs.Pick(servers, ask, now)
	last = choice.Tried || choice.Others == 0 || len(p.back) >= maxHandBacks || choice.Server.Full(now)
	return choice, last, ok
}

func (p *passage) work() time.Duration {
	p.far.mu.Lock()
	defer p.far.mu.Unlock()
	return p.far.gate.Work(p.request.Route)
}

// without leaves out the servers that failed.
func (p *passage) without(servers []placement.Server) []placement.Server {
	if len(p.failed) == 0 {
		return servers
	}
	kept := servers[:0]
	for _, s := range servers {
		if !contains(p.failed, s.ID) {
			kept = append(kept, s)
		}
	}
	return kept
}

func contains(list []string, id string) bool {
	for _, s := range list {
		if s == id {
			return true
		}
	}
	return false
}

// judge takes the outcome of one send. It returns true with the answer for the
// caller.
func (p *passage) judge(ctx context.Context, choice placement.Choice, last bool, out outcome) (*call.Answer, bool) {
	node := choice.Server.ID
	p.note(choice, last, out)
	if out.answer != nil {
		p.reached++
		p.ran = true
		if out.answer.Status < http.StatusInternalServerError || !p.mayRepeat(ctx) {
			return out.answer, true
		}
		p.granted = true
		p.keep(out.answer)
		p.failed = append(p.failed, node)
		return nil, false
	}
	p.last = out.err
	switch {
	case out.err.Kind == fault.KindHandedBack:
		p.back = append(p.back, node)
	case out.silent:
		p.ran = true
		p.silent++
		p.failed = append(p.failed, node)
	case out.ran:
		p.reached++
		p.ran = true
		p.failed = append(p.failed, node)
	default:
		if out.err.Kind == fault.KindShed {
			p.reached++
		}
		p.failed = append(p.failed, node)
	}
	return nil, false
}

// ended reports whether the request must not be sent again.
func (p *passage) ended(ctx context.Context) bool {
	if p.granted {
		p.granted = false
		return false
	}
	switch {
	case p.last.Kind == fault.KindOverloaded:
		return !p.roomElsewhere(time.Now())
	case p.last.Kind == fault.KindShed:
		return p.reached >= p.attempts || !p.again(p.request.Service, time.Now())
	case p.last.Outcome == fault.Refused:
		return false // it has reached no server
	case p.silent > 0 && p.reached == 0:
		// Nothing shows that a server has the request, so sending it elsewhere takes
		// nothing from the bound on second sends. Only idempotent requests come here.
		return p.silent > maxSilent
	}
	return !p.mayRepeat(ctx)
}

// roomElsewhere reports whether some server may still have room, though the one
// that seemed best has turned the request away.
func (p *passage) roomElsewhere(now time.Time) bool {
	if len(p.failed) > maxTurnAways {
		return false
	}
	choice, _, ok := p.choose(now)
	return ok && !choice.Tried && !choice.Server.Full(now)
}

// mayRepeat reports whether a request that may have run may be sent again.
func (p *passage) mayRepeat(ctx context.Context) bool {
	now := time.Now()
	return p.request.Idempotent && ctx.Err() == nil && p.reached < p.attempts &&
		now.Add(p.work()).Before(p.request.Deadline) && p.again(p.request.Service, now)
}

// keep holds a failed answer of a server for the case that nothing better comes.
func (p *passage) keep(answer *call.Answer) {
	if p.spare != nil {
		_ = p.spare.Open().Close()
	}
	p.spare = answer
}

// finish returns the error of the request as a whole.
func (p *passage) finish(ctx context.Context) (*call.Answer, error) {
	if p.spare != nil {
		return p.spare, nil
	}
	err := p.last
	switch {
	case ctx.Err() != nil:
		err = fault.New(fault.KindDeadline, "no answer before the deadline, or the caller left")
		if !p.ran {
			err = err.WithOutcome(fault.Refused)
		}
	case err == nil:
		err = fault.New(fault.KindNoServer, "no backend server of service %q is known", p.request.Service)
	}
	if p.ran && err.Outcome == fault.Refused {
		err = fault.New(fault.KindServerLost, "%s", err.Detail)
	}
	if !p.ran && err.Outcome == fault.Refused && err.Kind != fault.KindDeadline {
		err = overloaded(spread(err.Wait)).WithOutcome(fault.Refused)
		if p.last != nil {
			err.Detail = p.last.Detail
		}
	}
	p.logEnd(err)
	return nil, err
}

// spread makes callers that were turned away together come back apart.
func spread(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait)))
}

// note logs a send: what decided it, how old that was, and what came of it. The
// figures of the server after it tell whether the decision was right.
func (p *passage) note(choice placement.Choice, last bool, out outcome) {
	age := time.Duration(-1)
	if choice.Known {
		age = p.sent.Sub(choice.Server.Seen)
	}
	fields := log.Fields{
		"id": p.request.ID, "route": p.request.Route, "to": choice.Server.ID, "send": p.sends,
		"running": choice.Server.Running, "limit": choice.Server.Limit, "pace": choice.Server.Pace, "age": age,
		"last": last, "took": time.Since(p.sent),
		"running_after": out.load.InFlight, "limit_after": out.load.Limit, "pace_after": out.load.Pace,
	}
	if out.answer != nil {
		fields["status"] = out.answer.Status
		p.Log.WithFields(fields).Debug("answered")
		return
	}
	fields["outcome"], fields["ran"] = string(out.err.Kind), out.err.Outcome.String()
	p.Log.WithFields(fields).Debug("not answered")
}

func (p *passage) logEnd(err *fault.Error) {
	p.Log.WithField("id", p.request.ID).WithField("route", p.request.Route).WithField("service", p.request.Service).
		WithField("kind", string(err.Kind)).WithField("status", err.Status).WithField("outcome", err.Outcome.String()).
		WithField("sends", p.sends).WithField("reached", p.reached).WithField("took", time.Since(p.start)).
		WithField("left", time.Until(p.request.Deadline)).WithField("wait", err.Wait).WithField("cause", err.Detail).Warn("request failed")
}
