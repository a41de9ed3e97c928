package owner

import (
	"context"
	"io"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// attempt claims a new key and runs its request.
func (c *Controller) attempt(ctx context.Context, r call.Request, claim once.Claim) (*call.Answer, error) {
	if err := c.acquire(ctx, claim); err != nil {
		return nil, err
	}
	a := &attempt{controller: c, claim: claim, ready: make(chan struct{})}
	c.tasks.Go(func() { a.run(ctx, r.WithEpoch(0)) })
	select {
	case <-a.ready:
		return a.answer, a.err
	case <-ctx.Done():
		a.abandon()
		return nil, fault.New(fault.KindDeadline, "no answer before the deadline").
			WithRemedy("send the same key again to get the answer")
	}
}

// acquire gets the right to run a claimed key once. Its errors are refusals,
// except that a key which the backup knows as settled is unknown.
func (c *Controller) acquire(ctx context.Context, claim once.Claim) error {
	shard, _ := c.Records.Shard(claim.Service, claim.Index)
	if !shard.Backup.IsZero() {
		reply, err := c.claim(ctx, shard.Backup, claim)
		if err != nil {
			return c.release(claim, "backup %s did not confirm the key: %v", shard.Backup.ID, err)
		}
		switch reply.Verdict {
		case once.VerdictAccepted:
		case once.VerdictUnknown:
			c.settle(claim, once.OutcomeUnknown, nil)
			return fault.New(fault.KindOutcomeUnknown, "backup %s has settled the key before", shard.Backup.ID)
		default:
			c.learn(reply.Shard, handOverGrace)
			return c.release(claim, "backup %s refused the key (verdict %d)", shard.Backup.ID, reply.Verdict)
		}
	}
	if ctx.Err() != nil {
		return c.release(claim, "the caller went away")
	}
	if !c.Records.Acknowledge(claim) {
		return c.release(claim, "the shard's pair has changed")
	}
	return nil
}

// release frees a key that was not run and returns the refusal.
func (c *Controller) release(claim once.Claim, reason string, args ...any) error {
	c.settle(claim, once.OutcomeReleased, nil)
	return fault.New(fault.KindNoOwner, reason, args...)
}

// attempt runs one acknowledged key to its end, also when its caller has gone
// away, so that a resend gets the answer.
type attempt struct {
	controller *Controller
	claim      once.Claim
	// ready is closed when answer or err is set.
	ready  chan struct{}
	answer *call.Answer
	err    error
}

func (a *attempt) run(ctx context.Context, r call.Request) {
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(maxLife)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := a.controller.Next.Serve(ctx, r)
	if err != nil {
		a.fail(err)
		return
	}
	defer answer.Body.Close()
	reader, writer := io.Pipe()
	// A caller that stops reading must not hold the attempt past its deadline.
	defer context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.DeadlineExceeded) })()
	shown := *answer
	shown.Body = reader
	// The caller's side changes the header while this side keeps it.
	shown.Header = answer.Header.Clone()
	a.answer = &shown
	close(a.ready)
	_ = writer.CloseWithError(a.copy(writer, answer))
}

// fail settles an attempt without an answer. Only a refusal proves that the
// request did not run.
func (a *attempt) fail(err error) {
	outcome := once.OutcomeUnknown
	if fault.As(err).Outcome == fault.Refused {
		outcome = once.OutcomeReleased
	}
	a.controller.settle(a.claim, outcome, nil)
	a.err = err
	close(a.ready)
}

// abandon closes the answer of an attempt whose caller went away before it.
func (a *attempt) abandon() {
	a.controller.tasks.Go(func() {
		<-a.ready
		if a.answer != nil {
			_ = a.answer.Body.Close()
		}
	})
}

// copy passes the body on while it keeps its beginning, and settles the key
// before the caller sees the end. It returns nil after a whole body.
func (a *attempt) copy(w *io.PipeWriter, answer *call.Answer) error {
	kept := keptAnswer{Status: answer.Status, Header: answer.Header, Server: answer.Server}
	settled, gone := false, false
	settle := func(outcome once.Outcome, b []byte) {
		if !settled {
			settled = true
			a.controller.settle(a.claim, outcome, b)
		}
	}
	if answer.Outcome == fault.Refused {
		settle(once.OutcomeReleased, nil)
	}
	buf := make([]byte, copySize)
	for total := int64(0); ; {
		n, err := answer.Body.Read(buf)
		total += int64(n)
		if !settled && !kept.add(buf[:n]) {
			// The server has answered; the answer is too large to keep.
			settle(once.OutcomeFinished, nil)
		}
		if total == answer.Length {
			// A caller that knows the length may send the key again before the
			// end of the body is read here.
			settle(once.OutcomeFinished, kept.encode())
		}
		if n > 0 && !gone {
			_, werr := w.Write(buf[:n])
			gone = werr != nil
		}
		if err == io.EOF {
			settle(once.OutcomeFinished, kept.encode())
			return nil
		}
		if err != nil {
			settle(once.OutcomeUnknown, nil)
			return err
		}
	}
}
