package mesh

import (
	"context"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
)

// publish writes the newest entry to the registry and retries until it is written.
func (a *announcer) publish(ctx context.Context) {
	a.mu.Lock()
	start := !a.publishing
	a.publishing = true
	a.mu.Unlock()
	if start {
		go a.publishLoop(ctx)
	}
}

// awaitPublished waits until the registry has an entry of this node. The list of
// nodes is read only after that, so that of two nodes that start at the same time
// at least one finds the other in the list.
func (a *announcer) awaitPublished(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		done := a.published > 0
		a.mu.Unlock()
		if done {
			return
		}
		clock.Sleep(ctx, publishedPoll)
	}
}

func (a *announcer) publishLoop(ctx context.Context) {
	wait := minPublishBackoff
	for {
		own := a.entry()
		err := a.publishOnce(ctx, own)
		if fault.Is(err, fault.KindConflict) {
			err = a.publishOnce(ctx, own) // over the row that it reads now
		}
		a.mu.Lock()
		if err == nil && a.published == a.own.Change || ctx.Err() != nil {
			a.publishing = false
			a.mu.Unlock()
			return
		}
		a.mu.Unlock()
		if err != nil {
			a.Log.WithError(err).WithField("change", own.Change).Warn("cannot write the entry of this node to the registry")
			clock.Sleep(ctx, retry.Jitter(wait, nil))
			wait = min(2*wait, maxPublishBackoff)
		}
	}
}

// publishOnce writes an entry over the one that the registry has. It reads that first if
// it is not known: it may be of an earlier process, or written by this one without a
// reply.
func (a *announcer) publishOnce(ctx context.Context, own roster.Entry) error {
	a.mu.Lock()
	row, known := a.row, a.rowKnown
	a.mu.Unlock()
	if !known {
		found, err := a.Registry.Entry(ctx, own.Node)
		if err != nil {
			return err
		}
		a.found(ctx, found)
		row, own = found.Position, a.entry()
		if found.Node == own.Node && found.Start == own.Start && found.Change == own.Change {
			a.written(own, WriteResult{Position: row})
			return nil
		}
	}
	written, err := a.Registry.Publish(ctx, own, row)
	if fault.Is(err, fault.KindConflict) || fault.Is(err, fault.KindWriteUnknown) {
		a.mu.Lock()
		a.rowKnown = false
		a.mu.Unlock()
	}
	if err == nil {
		a.written(own, written)
	}
	return err
}

// written records that the registry has an entry.
func (a *announcer) written(own roster.Entry, w WriteResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.row, a.rowKnown = w.Position, w.Position > 0
	if a.published == 0 {
		a.first = w
	}
	a.published = own.Change
}

// found takes over the entry of this node that the registry has.
func (a *announcer) found(ctx context.Context, m Member) {
	a.mu.Lock()
	a.row, a.rowKnown = m.Position, true
	own := a.own
	a.mu.Unlock()
	switch {
	case m.Node != own.Node || m.Start == own.Start:
	case m.Start > own.Start:
		a.advanceStart(ctx, m.Start)
		fallthrough
	default:
		a.earlier(m.Entry)
	}
}

// witness records that another node has an entry of this one.
func (a *announcer) witness(own roster.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.witnessed = max(a.witnessed, own.Change)
}

// awaitLeaving waits until the registry or another node knows that a server is leaving,
// so that the end of this process does not bring it back. It reports whether one does.
func (a *announcer) awaitLeaving(ctx context.Context, server string) bool {
	for ctx.Err() == nil {
		a.mu.Lock()
		kept := a.own.Leaving && a.own.Server == server && max(a.published, a.witnessed) >= a.leaving
		a.mu.Unlock()
		if kept {
			return true
		}
		clock.Sleep(ctx, publishedPoll)
	}
	return false
}
