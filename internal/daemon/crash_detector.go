package daemon

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
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
	// kindIncident reports a crash and the requests in flight at it, kindRelease that
	// one of these has been answered since. kindIncidents requests all known incidents.
	kindIncident  = "incident"
	kindRelease   = "release"
	kindIncidents = "incidents"
	// broadcastTimeout bounds how long the failure of the requests in flight is
	// withheld from their callers while other nodes are notified of the crash.
	broadcastTimeout = 500 * time.Millisecond
	// maxConcurrentSends bounds the messages of a broadcast that are sent at a time.
	maxConcurrentSends = 32
	// maxIncidentPeers is how many nodes a new node asks for the known incidents.
	maxIncidentPeers = 3
	// incidentTimeout bounds the wait for them. Hosts that are gone do not answer.
	incidentTimeout = 300 * time.Millisecond
	// crashlessStart is how long a node that can ask nobody keeps its server from taking
	// requests.
	crashlessStart = 2 * time.Second
)

// crashDetector finds the requests that crash backend servers and keeps them from
// running again. It shares what it finds with the other nodes.
type crashDetector struct {
	common
	table     quarantine.Table
	members   *membership
	transport *node.Transport

	// rows stores the crashes of the server beside this node.
	rows crashRows
	// runCtx ends when the node stops.
	runCtx context.Context
	// learning is the service whose earlier crashes are being asked for, learningSince
	// since when. Both are used by learn only.
	learning      string
	learningSince time.Time

	mu sync.Mutex
	// known is the service whose earlier crashes are known.
	known string
	// senders counts the requests in flight here by the node that sent them.
	senders map[string]int
	// reportDone is closed when the newest report has ended; nil before the first.
	reportDone chan struct{}
}

func (c *crashDetector) addControls(all map[string]node.ControlFunc) {
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
		if c.knows("") {
			return nil, fault.New(fault.KindStopped, "node %s does not know the earlier crashes itself", c.ID)
		}
		return msgpack.Marshal(c.table.Incidents(time.Now(), nil))
	}
}

// check refuses a quarantined request before it waits for a slot.
func (c *crashDetector) check(r call.Request, fingerprint quarantine.Fingerprint) error {
	if c.table.Check(fingerprint, time.Now()) == quarantine.Refuse {
		return crash.Refusal(r)
	}
	return nil
}

// suspect reports whether the request is a suspect: a request with the same content was
// in flight at a crash and may have caused it. A hedge of such a request could crash a
// second server before the first crash is known.
func (c *crashDetector) suspect(r call.Request) bool {
	return c.table.Check(quarantine.Fingerprint(r.Fingerprint()), time.Now()) != quarantine.Run
}

// countInFlight changes the number of requests in flight that another node sent; from
// is empty for requests that callers sent to this node itself.
func (c *crashDetector) countInFlight(from string, change int) {
	if from == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.senders == nil {
		c.senders = make(map[string]int)
	}
	if c.senders[from] += change; c.senders[from] == 0 {
		delete(c.senders, from)
	}
}

// begin starts the request. A suspect waits until no other suspect runs here.
func (c *crashDetector) begin(ctx context.Context, r call.Request, fingerprint quarantine.Fingerprint) (quarantine.Start, error) {
	start, ok := crash.Begin(ctx, &c.table, fingerprint)
	switch {
	case ok:
		c.countInFlight(r.From, 1)
		return start, nil
	case start.Verdict == quarantine.Refuse:
		return start, crash.Refusal(r)
	default:
		return start, fault.New(fault.KindDeadline, "the request was in flight at a crash, and another such request ran here until its deadline").
			WithOutcome(fault.Refused)
	}
}

// end ends a request. An answered request is no longer a suspect; the other nodes of
// the service are notified of that. The service is that of the server beside this node,
// which has answered.
func (c *crashDetector) end(r call.Request, start quarantine.Start, answered bool) {
	c.countInFlight(r.From, -1)
	release, released := c.table.End(start, answered, time.Now())
	if !released {
		return
	}
	body, err := msgpack.Marshal(release)
	if err == nil {
		go c.broadcast(context.Background(), kindRelease, body, c.recipients(c.members.protocol.Local().Service))
	}
}

// report notifies other nodes of the crash that ended the request. The first request
// that failed in a crash reports it; all others that were in flight wait for the end of
// this report before their callers get the failure.
func (c *crashDetector) report(ctx context.Context, service string, start quarantine.Start) {
	c.mu.Lock()
	incident, ok := c.table.Crash(c.ID, start, time.Now())
	if !ok {
		// Another request that was in flight has reported the crash.
		wait := c.reportDone
		c.mu.Unlock()
		if wait != nil {
			<-wait
		}
		return
	}
	done := make(chan struct{})
	c.reportDone = done
	c.mu.Unlock()
	defer close(done)
	recipients := c.recipients(service)
	c.Log.WithField("node", c.ID).WithField("service", service).WithField("requests", len(incident.Fingerprints)).
		Error("backend server crashed")
	saved := make(chan struct{})
	go func() {
		defer close(saved)
		c.save(service, incident)
	}()
	timer := time.NewTimer(broadcastTimeout)
	defer timer.Stop()
	body, err := msgpack.Marshal(incident)
	if err == nil {
		c.broadcast(ctx, kindIncident, body, recipients)
	}
	select {
	case <-saved:
	case <-timer.C:
	}
}

// save saves an incident in the table service.
func (c *crashDetector) save(service string, i quarantine.Incident) {
	err := crash.Save(c.runCtx, i, func(ctx context.Context, i quarantine.Incident) error {
		return c.rows.save(ctx, service, c.ID, i)
	})
	if err != nil {
		c.Log.WithError(err).WithField("node", c.ID).Warn("cannot save a crash in the table")
	}
}

// recipients returns the other nodes that must be notified of a crash: those of the
// service, which may run the request next, and those that sent the requests in flight
// and may send them again.
func (c *crashDetector) recipients(service string) []member.Member {
	c.mu.Lock()
	senders := maps.Clone(c.senders)
	c.mu.Unlock()
	var found []member.Member
	for _, m := range c.members.protocol.Table().Members() {
		if m.ID != c.ID && (m.Service == service || senders[m.ID] > 0) {
			found = append(found, m)
		}
	}
	return found
}

// broadcast sends a message to nodes and waits for their replies. The measuring budget
// does not apply to it, because it is not measuring traffic: when the budget of the link
// between two regions was spent and held incidents back, the request crashed a third
// server, in the other region.
func (c *crashDetector) broadcast(ctx context.Context, kind string, body []byte, recipients []member.Member) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentSends)
	for _, m := range recipients {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			_, _ = c.transport.Control(ctx, peerOf(m), kind, body)
		})
	}
	wg.Wait()
}

// knows reports whether the earlier crashes of a service are known. The server takes no
// requests before.
func (c *crashDetector) knows(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known == service
}

// learn gets the earlier crashes of the service of the server beside this node from the
// table service and a few other nodes of the service. If nobody answers, the server takes
// requests after crashlessStart all the same.
func (c *crashDetector) learn(ctx context.Context, service string, now time.Time) {
	if service == "" || c.knows(service) {
		return
	}
	if c.learning != service {
		c.learning, c.learningSince = service, now
	}
	ctx, cancel := context.WithTimeout(ctx, incidentTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var answered atomic.Bool
	merge := func(list []quarantine.Incident) {
		answered.Store(true)
		for _, i := range list {
			c.table.Merge(i, time.Now())
		}
	}
	wg.Go(func() {
		if saved, err := c.rows.list(ctx, service); err == nil {
			merge(saved)
		}
	})
	asked := 0
	for _, m := range c.members.protocol.Table().Members() {
		if m.ID == c.ID || m.Service != service || asked == maxIncidentPeers {
			continue
		}
		asked++
		wg.Go(func() {
			reply, err := c.transport.Control(ctx, peerOf(m), kindIncidents, nil)
			var list quarantine.Incidents
			if err == nil && wire.Unmarshal(reply, &list) == nil {
				merge(list)
			}
		})
	}
	wg.Wait()
	if answered.Load() || now.Sub(c.learningSince) >= crashlessStart {
		c.mu.Lock()
		c.known = service
		c.mu.Unlock()
	}
}
