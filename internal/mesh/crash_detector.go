package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/backend"
	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/crash"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

// crashDetector finds the requests that crash backend servers and keeps them from
// running again. It shares what it finds with the other nodes of the service.
type crashDetector struct {
	*Options
	table quarantine.Table
	// unknown is set in a process that has a predecessor until it knows the crashes of
	// before its start. The server takes no requests meanwhile.
	unknown atomic.Bool
	// notify sends an incident to the other nodes of the service. It returns when all of
	// them have it or cannot be reached.
	notify func(i quarantine.Incident)

	mu sync.Mutex
	// reported is closed when notify has returned for the newest crash; nil before the
	// first.
	reported chan struct{}
}

// check refuses a quarantined request before it waits for a slot.
func (c *crashDetector) check(r call.Request, fingerprint quarantine.Fingerprint) *fault.Error {
	if c.table.Check(fingerprint, time.Now()) != quarantine.Refuse {
		return nil
	}
	return c.refusal(r, fingerprint)
}

func (c *crashDetector) refusal(r call.Request, fingerprint quarantine.Fingerprint) *fault.Error {
	c.Log.WithField("id", r.ID).WithField("content", fingerprint.String()).Warn("request refused: its content crashed backend servers")
	return crash.Refusal(r)
}

// begin starts a request that has a slot. Two suspects do not run at the same time
// on one server: the second one is handed back, or waits here if this is the last
// server that it may try, as long as its answer would still be in time.
func (c *crashDetector) begin(ctx context.Context, r call.Request, fingerprint quarantine.Fingerprint) (quarantine.Start, *fault.Error) {
	start, ok := c.table.Begin(fingerprint, time.Now())
	if !ok && start.Verdict == quarantine.Alone {
		c.Log.WithField("id", r.ID).WithField("content", fingerprint.String()).WithField("last", r.Last).
			Info("request was in flight at a crash, and so was one that runs here")
		if !r.Last {
			return start, fault.New(fault.KindHandedBack, "the server is running another request that was in flight at a crash")
		}
		ctx, cancel := context.WithDeadline(ctx, r.Due())
		defer cancel()
		start, ok = crash.Begin(ctx, &c.table, fingerprint)
	}
	switch {
	case ok:
		return start, nil
	case start.Verdict == quarantine.Refuse:
		return start, c.refusal(r, fingerprint)
	default:
		return start, overloaded(0)
	}
}

// end ends a request that the server answered or that never reached it.
func (c *crashDetector) end(start quarantine.Start, answered bool) {
	c.table.End(start, answered, time.Now())
}

// failed ends a request whose connection broke. If the server crashed while it ran the
// request, failed returns a channel that is closed when the other nodes know of the
// crash, otherwise nil.
func (c *crashDetector) failed(r call.Request, start quarantine.Start) (reported <-chan struct{}) {
	defer c.end(start, false)
	if !backend.RefusesConnections(context.Background(), c.backend().Addr) {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	incident, first := c.table.Crash(r.Target, start, time.Now())
	if !first {
		return c.reported // by another request that was in flight
	}
	c.Log.WithField("server", r.Target).WithField("id", r.ID).WithField("suspects", len(incident.Fingerprints)).
		Warn("backend server crashed")
	done := make(chan struct{})
	c.reported = done
	go func() {
		defer close(done)
		if len(incident.Fingerprints) > 0 {
			c.notify(incident)
		}
	}()
	return done
}

// receive merges the incidents that another node reported.
func (c *crashDetector) receive(from string, list ...quarantine.Incident) *fault.Error {
	for _, i := range list {
		if !i.Valid() {
			return fault.New(fault.KindBadRequest, "incident from node %s is not valid", from).
				WithRemedy("run the same version on all nodes")
		}
		if c.table.Merge(i, time.Now()) {
			c.Log.WithField("node", from).WithField("server", i.Server).WithField("suspects", len(i.Fingerprints)).
				WithField("known_cause", i.SoleSuspect != 0).WithField("age", i.Age).Info("node told of a crash")
		}
	}
	return nil
}

// maxCrashWait bounds how long a failure is withheld while the other nodes are notified
// of a crash. It covers a round trip between regions.
const maxCrashWait = 100 * time.Millisecond

// connectionBroken checks whether the server has crashed, after the connection of a
// request broke. It returns when the other nodes know of the crash, so that none of them
// runs the request before, but no later than after maxCrashWait.
func (p *serverProxy) connectionBroken(ctx context.Context, r call.Request, start quarantine.Start) {
	ctx, cancel := context.WithTimeout(ctx, maxCrashWait)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		if reported := p.crash.failed(r, start); reported != nil {
			p.markDown()
			<-reported
		}
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
