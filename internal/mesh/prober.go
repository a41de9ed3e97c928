package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// prober probes nodes that cannot be reached, and removes those that stay
// unreachable for too long.
type prober struct {
	*announcer
}

// tick sends the probes that are due.
func (p prober) tick(ctx context.Context, now time.Time) {
	probe, lost := p.directory.dueProbes(now)
	for _, e := range probe {
		go p.probe(ctx, e)
	}
	for _, e := range lost {
		p.Log.WithField("node", e.Node).WithField("addr", e.Addr).Warn("node is gone for good and is forgotten")
		p.directory.remove(e.Node)
		go p.withdraw(ctx, e)
	}
}

// probe exchanges entries with a node, so that both get the updates that they missed.
func (p prober) probe(ctx context.Context, to roster.Entry) {
	reply, err := p.exchange(ctx, to, p.entry())
	if err == nil && reply != nil {
		p.receive(ctx, *reply)
		if p.reached != nil {
			p.reached(reply.Entry)
		}
	}
}

func (p prober) withdraw(ctx context.Context, e roster.Entry) {
	if err := p.Registry.Withdraw(ctx, e); err != nil {
		p.Log.WithError(err).WithField("node", e.Node).Warn("cannot remove the entry of a lost node")
	}
}
