package owner

import (
	"context"
	"io"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// attempt acquires a new key and runs its request.
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

// acquire confirms a claim at the backup and acknowledges it, after which the
// request may run once. Its errors mean that the request did not run, except
// when the backup has already settled the key: its outcome is then unknown.
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
			c.updateShard(reply.Shard, handOverGrace)
			return c.release(claim, "backup %s refused the key (verdict %d)", shard.Backup.ID, reply.Verdict)
		}
	}
	if ctx.Err() != nil {
		return c.release(claim, "the caller disconnected or its deadline passed")
	}
	if !c.Records.Acknowledge(claim) {
		return c.release(claim, "the shard's pair has changed")
	}
	return nil
}

// release frees a key whose request was not run and returns the refusal.
func (c *Controller) release(claim once.Claim, reason string, args ...any) error {
	c.settle(claim, once.OutcomeReleased, nil)
	return fault.New(fault.KindNoOwner, reason, args...)
}

// attempt runs the request of one acknowledged key. It continues after its caller
// has disconnected, so that a resend can get the answer.
type attempt struct {
	controller *Controller
	claim      once.Claim
	// ready is closed once answer or err is set.
	ready  chan struct{}
	answer *call.Answer
	err    error
}

func (a *attempt) run(ctx context.Context, r call.Request) {
	deadline := r.Deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(maxRequestTime)
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
	// A caller that stops reading must not block the attempt past its deadline.
	defer context.AfterFunc(ctx, func() { _ = writer.CloseWithError(context.DeadlineExceeded) })()
	returned := *answer
	returned.Body = reader
	// The caller's goroutine changes the header while this one stores it.
	returned.Header = answer.Header.Clone()
	a.answer = &returned
	close(a.ready)
	_ = writer.CloseWithError(a.copyBody(writer, answer))
}

// fail settles an attempt that has no answer. Only an error with the outcome
// fault.Refused proves that the request did not run.
func (a *attempt) fail(err error) {
	outcome := once.OutcomeUnknown
	if fault.As(err).Outcome == fault.Refused {
		outcome = once.OutcomeReleased
	}
	a.controller.settle(a.claim, outcome, nil)
	a.err = err
	close(a.ready)
}

// abandon closes the answer of an attempt whose caller did not wait for it.
func (a *attempt) abandon() {
	a.controller.tasks.Go(func() {
		<-a.ready
		if a.answer != nil {
			_ = a.answer.Body.Close()
		}
	})
}

// copyBody copies the body to the caller, buffers it for storage up to the limit,
// and settles the key before the caller reads the end. It returns nil if the body
// was read completely.
func (a *attempt) copyBody(w *io.PipeWriter, answer *call.Answer) error {
	kept := keptAnswer{Status: answer.Status, Header: answer.Header, Server: answer.Server}
	settled, callerGone := false, false
	settle := func(outcome once.Outcome, b []byte) {
		if !settled {
			settled = true
			a.controller.settle(a.claim, outcome, b)
		}
	}
	if answer.Outcome == fault.Refused {
		settle(once.OutcomeReleased, nil)
	}
	buf := make([]byte, copyBufferSize)
	for total := int64(0); ; {
		n, err := answer.Body.Read(buf)
		total += int64(n)
		if !settled && !kept.add(buf[:n]) {
			// The server has answered, but the answer is too large to store.
			settle(once.OutcomeFinished, nil)
		}
		if total == answer.Length {
			// A caller that knows the length may resend the key before EOF is read
			// here.
			settle(once.OutcomeFinished, kept.encode())
		}
		if n > 0 && !callerGone {
			_, werr := w.Write(buf[:n])
			callerGone = werr != nil
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
