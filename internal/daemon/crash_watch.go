package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/crash"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	kindIncident  = "incident"
	kindRelease   = "release"
	kindIncidents = "incidents"
	// spreadTimeout bounds how long the failure of the requests in flight is
	// kept from their callers while other nodes learn of the crash.
	spreadTimeout = 500 * time.Millisecond
	// maxSpread bounds the messages that are under way at once.
	maxSpread = 32
	// maxJoinAsked is how many nodes a new node asks for incidents.
	maxJoinAsked = 3
)

// crashWatch finds requests that crash backend servers and keeps them from
// running again, together with the other nodes.
type crashWatch struct {
	common
	table   quarantine.Table
	members *membership
	node    *node.Transport

	mu sync.Mutex
	// entries counts the requests in flight here by the node that sent them.
	entries map[string]int
	// reporting is closed when the newest report has ended; nil before the first.
	reporting chan struct{}
}

func (c *crashWatch) controls(all map[string]node.ControlFunc) {
	all[kindIncident] = func(_ context.Context, from string, body []byte) ([]byte, error) {
		var i quarantine.Incident
		if err := wire.Unmarshal(body, &i); err != nil || !i.Valid() {
			return nil, fault.New(fault.KindBadRequest, "incident from node %s is not valid", from)
		}
		c.table.Merge(i, time.Now())
		return nil, nil
	}
	all[kindRelease] = func(_ context.Context, from string, body []byte) ([]byte, error) {
		var r quarantine.Release
		if err := wire.Unmarshal(body, &r); err != nil {
			return nil, fault.New(fault.KindBadRequest, "release from node %s is not valid", from)
		}
		c.table.Release(r, time.Now())
		return nil, nil
	}
	all[kindIncidents] = func(context.Context, string, []byte) ([]byte, error) {
		return msgpack.Marshal(c.table.Incidents(time.Now(), nil))
	}
}

// check refuses a quarantined request before it waits for a slot.
func (c *crashWatch) check(r call.Request, mark quarantine.Fingerprint) error {
	if c.table.Check(mark, time.Now()) == quarantine.Refuse {
		return crash.Refusal(r)
	}
	return nil
}

// suspect reports whether the request was in flight at a crash. A second copy
// of it beside the first could crash a second server before either is known.
func (c *crashWatch) suspect(r call.Request) bool {
	return c.table.Check(quarantine.Fingerprint(r.Fingerprint()), time.Now()) != quarantine.Run
}

// count follows the requests in flight of another node.
func (c *crashWatch) count(from string, change int) {
	if from == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = make(map[string]int)
	}
	if c.entries[from] += change; c.entries[from] == 0 {
		delete(c.entries, from)
	}
}

// begin starts the request. A suspect waits until no other suspect runs here.
func (c *crashWatch) begin(ctx context.Context, r call.Request, mark quarantine.Fingerprint) (quarantine.Start, error) {
	start, ok := crash.Begin(ctx, &c.table, mark)
	switch {
	case ok:
		c.count(r.From, 1)
		return start, nil
	case start.Verdict == quarantine.Refuse:
		return start, crash.Refusal(r)
	default:
		return start, fault.New(fault.KindDeadline, "the request may run only without other suspects of a crash, and its deadline came first").
			WithOutcome(fault.Refused)
	}
}

// end ends a request; one that was answered is no suspect any more.
func (c *crashWatch) end(r call.Request, start quarantine.Start, answered bool) {
	c.count(r.From, -1)
	release, released := c.table.End(start, answered, time.Now())
	if !released {
		return
	}
	body, err := msgpack.Marshal(release)
	if err == nil {
		go c.spread(context.Background(), kindRelease, body, c.audience(c.members.protocol.Announced().Service))
	}
}

// report tells the other nodes of the service about the crash that ended the
// request. All requests that were in flight wait for the one report before
// their failure is told.
func (c *crashWatch) report(ctx context.Context, service string, start quarantine.Start) {
	c.mu.Lock()
	incident, ok := c.table.Crash(c.ID, start, time.Now())
	if !ok {
		// Another request that was in flight has reported the crash already.
		wait := c.reporting
		c.mu.Unlock()
		if wait != nil {
			<-wait
		}
		return
	}
	done := make(chan struct{})
	c.reporting = done
	c.mu.Unlock()
	defer close(done)
	audience := c.audience(service)
	c.Log.WithField("node", c.ID).WithField("service", service).WithField("requests", len(incident.Fingerprints)).
		Error("backend server crashed")
	body, err := msgpack.Marshal(incident)
	if err == nil {
		c.spread(ctx, kindIncident, body, audience)
	}
}

// audience returns the nodes that must know of a crash: those that may run the
// request next, and those that sent the requests in flight and may send them
// again.
func (c *crashWatch) audience(service string) []member.Member {
	c.mu.Lock()
	entries := maps.Clone(c.entries)
	c.mu.Unlock()
	var found []member.Member
	for _, m := range c.members.protocol.Table().Members() {
		if m.ID != c.ID && (m.Service == service || entries[m.ID] > 0) {
			found = append(found, m)
		}
	}
	return found
}

// spread sends a message to nodes and waits for their replies. It does not ask
// the measuring budget: a crash measures nothing, and when the budget of a link
// was spent the other region lost a third server.
func (c *crashWatch) spread(ctx context.Context, kind string, body []byte, audience []member.Member) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxSpread)
	for _, m := range audience {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			_, _ = c.node.Control(ctx, peerOf(m), kind, body)
		})
	}
	wg.Wait()
}

// join learns the incidents that a few other nodes know.
func (c *crashWatch) join(ctx context.Context) {
	asked := 0
	for _, m := range c.members.protocol.Table().Members() {
		if m.ID == c.ID || asked == maxJoinAsked {
			continue
		}
		asked++
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := c.node.Control(ctx, peerOf(m), kindIncidents, nil)
		cancel()
		var known quarantine.Incidents
		if err != nil || wire.Unmarshal(reply, &known) != nil {
			continue
		}
		for _, i := range known {
			c.table.Merge(i, time.Now())
		}
	}
}
