package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/crash"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// crashWatch finds requests that crash backend servers, together with the other
// nodes of the service, and keeps them from running again.
type crashWatch struct {
	*Options
	table quarantine.Table
	// tell sends an incident to the other nodes of the service.
	tell func(i quarantine.Incident)
}

// check refuses a quarantined request before it waits for a slot.
func (c *crashWatch) check(r call.Request, mark quarantine.Fingerprint) *fault.Error {
	if c.table.Check(mark, time.Now()) != quarantine.Refuse {
		return nil
	}
	return c.refusal(r, mark)
}

func (c *crashWatch) refusal(r call.Request, mark quarantine.Fingerprint) *fault.Error {
	c.Log.WithField("id", r.ID).WithField("content", mark.String()).Warn("request refused: its content crashed backend servers")
	return crash.Refusal(r)
}

// begin starts a request that has its slot. A suspect does not run beside
// another one: it goes to another server, or waits where there is none, as long
// as its answer would still be in time.
func (c *crashWatch) begin(ctx context.Context, r call.Request, mark quarantine.Fingerprint) (quarantine.Start, *fault.Error) {
	start, ok := c.table.Begin(mark, time.Now())
	if !ok && start.Verdict == quarantine.Alone {
		c.Log.WithField("id", r.ID).WithField("content", mark.String()).WithField("last", r.Last).
			Info("request was in flight at a crash, and so was one that runs here")
		if !r.Last {
			return start, fault.New(fault.KindHandedBack, "another request that was in flight at a crash runs here")
		}
		ctx, cancel := context.WithDeadline(ctx, r.Due())
		defer cancel()
		start, ok = crash.Begin(ctx, &c.table, mark)
	}
	switch {
	case ok:
		return start, nil
	case start.Verdict == quarantine.Refuse:
		return start, c.refusal(r, mark)
	default:
		return start, overloaded(0)
	}
}

// end ends a request that the server has answered, or that never reached it.
func (c *crashWatch) end(start quarantine.Start, answered bool) {
	c.table.End(start, answered, time.Now())
}

// failed ends a request whose connection broke, and reports whether the server
// has crashed under it.
func (c *crashWatch) failed(r call.Request, start quarantine.Start) (crashed bool) {
	defer c.end(start, false)
	if !backend.RefusesConnections(context.Background(), c.Server) {
		return false
	}
	incident, first := c.table.Crash(r.Target, start, time.Now())
	if first {
		c.Log.WithField("server", r.Target).WithField("id", r.ID).WithField("suspects", len(incident.Fingerprints)).
			Warn("backend server crashed")
	}
	if first && len(incident.Fingerprints) > 0 {
		c.tell(incident)
	}
	return true
}

// hear takes the incident of another node.
func (c *crashWatch) hear(from string, i quarantine.Incident) *fault.Error {
	if !i.Valid() {
		return fault.New(fault.KindBadRequest, "incident from node %s is not valid", from).
			WithRemedy("run the same version on all nodes")
	}
	if c.table.Merge(i, time.Now()) {
		c.Log.WithField("node", from).WithField("server", i.Server).WithField("suspects", len(i.Fingerprints)).
			WithField("known_cause", i.SoleSuspect != 0).Info("node told of a crash")
	}
	return nil
}
