package mesh

import (
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/reach"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

const (
	// failureThreshold is the share of failed requests from which a server is
	// avoided. It is averaged over about failureSamples requests.
	failureThreshold = 0.4
	failureSamples   = 10
	// minAbsentBackoff and maxAbsentBackoff bound how long a node whose server takes
	// no requests is skipped; the time doubles with each further refusal. When the
	// server is back, its node sends a new entry, which ends the backoff.
	minAbsentBackoff = 500 * time.Millisecond
	maxAbsentBackoff = 2 * time.Second
	// unhealthyTime is how long a server whose answers fail is avoided before it is
	// tried again.
	unhealthyTime = time.Second
)

// directory holds the known nodes and the load of the servers beside them.
type directory struct {
	*Options
	mu     sync.Mutex
	roster roster.Roster
	loads  map[string]*serverLoad
	// down holds the nodes that cannot be reached.
	down map[string]struct{}
	// left holds the last entries of nodes in which their servers were leaving, until an
	// entry has another server. A node that restarts asks for its own.
	left map[string]roster.Entry
	// forgotten holds the starts of nodes that were removed, at most maxForgotten.
	forgotten map[string]int64
}

// maxForgotten bounds the nodes that are remembered as forgotten.
const maxForgotten = 4096

// serverLoad is what this node has observed of one server.
type serverLoad struct {
	load       call.Load
	observedAt time.Time
	// inFlight counts this node's requests at the server, sinceObserved those of
	// them that began after observedAt.
	inFlight, sinceObserved int
	reach                   reach.Peer
	// avoid is the time until which the server is avoided, because its answers fail or
	// it takes no requests.
	avoid time.Time
	// absences counts consecutive refusals of a node whose server takes no requests.
	absences int
	// failureRate is the moving average of the share of failed requests, and samples
	// how many of them it covers, at most failureSamples.
	failureRate float64
	samples     float64
	// summary is what the node has measured about its server's slots, and
	// summarySent when this node last sent its own summary to it.
	summary     slots.Summary
	summarySent time.Time
	// relayAvoidedUntil is the time until which the node is not used as a relay.
	relayAvoidedUntil time.Time
}

// merge merges entries and returns those that changed the directory.
func (d *directory) merge(entries []roster.Entry, now time.Time) []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []roster.Entry
	for _, e := range entries {
		if err := e.Check(); err != nil {
			d.Log.WithError(err).Warn("entry of a node ignored")
			continue
		}
		old, known := d.roster.Get(e.Node)
		if !d.roster.Merge(e, now) {
			continue
		}
		changed = append(changed, e)
		d.keepLeft(e)
		if !known || old.Start != e.Start || old.Server != e.Server {
			d.clearLoad(e.Node)
		} else if l := d.loads[e.Node]; l != nil {
			l.avoid, l.absences = time.Time{}, 0
		}
	}
	return changed
}

// keepLeft keeps an entry with a leaving server, and drops one that is out of date. The
// caller holds d.mu.
func (d *directory) keepLeft(e roster.Entry) {
	if e.Leaving {
		if d.left == nil {
			d.left = make(map[string]roster.Entry)
		}
		d.left[e.Node] = e
	} else if left, ok := d.left[e.Node]; ok && e.Server != "" && (e.Server != left.Server || e.State == roster.Ready) {
		delete(d.left, e.Node)
	}
}

// leftOf returns the kept entry of a node; nil if there is none.
func (d *directory) leftOf(node string) *roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.left[node]; ok {
		return &e
	}
	return nil
}

// clearLoad removes the observations of a node's server. The caller holds d.mu.
func (d *directory) clearLoad(node string) {
	delete(d.loads, node)
	delete(d.down, node)
}

// servers returns the candidates for a service.
func (d *directory) servers(service string, buf []placement.Server) []placement.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Each(func(e roster.Entry) {
		if e.Service != service || !e.Serves() {
			return
		}
		s := placement.Server{ID: e.Node, Distance: d.distance(e), WarmingUntil: d.roster.WarmingUntil(e.Node), Limit: e.Slots}
		if l := d.loads[e.Node]; l != nil {
			s.LocalInFlight, s.Unreachable, s.Avoid = l.sinceObserved, l.reach.Unreachable(), l.avoid
			if !l.observedAt.IsZero() {
				s.Seen, s.Running, s.Limit, s.Wait = l.observedAt, l.load.InFlight, l.load.Limit, l.load.Wait
				s.Slowdown, s.SlowFor, s.Backlog = l.load.Slowdown, l.load.SlowFor, l.load.Backlog
				s.Unhealthy = l.load.Unhealthy
			}
		}
		buf = append(buf, s)
	})
	return buf
}

func (d *directory) distance(e roster.Entry) placement.Distance {
	switch {
	case e.Node == d.Node:
		return placement.SameHost
	case e.Domain == d.Domain:
		return placement.SameDomain
	case e.Region == d.Region:
		return placement.SameRegion
	default:
		return placement.OtherRegion
	}
}

func (d *directory) entry(node string) (roster.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Get(node)
}

// others returns the entries of all other nodes.
func (d *directory) others() []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]roster.Entry, 0, d.roster.Len())
	d.roster.Each(func(e roster.Entry) {
		if e.Node != d.Node {
			all = append(all, e)
		}
	})
	return all
}

// count returns the number of known nodes.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Len()
}

func (d *directory) remove(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.roster.Get(node); ok {
		if len(d.forgotten) >= maxForgotten || d.forgotten == nil {
			d.forgotten = make(map[string]int64)
		}
		d.forgotten[node] = e.Start
	}
	d.roster.Remove(node)
	delete(d.left, node)
	d.clearLoad(node)
}

func (d *directory) loadOf(node string) *serverLoad {
	if d.loads == nil {
		d.loads = make(map[string]*serverLoad)
	}
	l := d.loads[node]
	if l == nil {
		l = &serverLoad{}
		d.loads[node] = l
	}
	return l
}

// sendStarted counts a request that is sent to a node.
func (d *directory) sendStarted(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.inFlight++
	l.sinceObserved++
}

// sendEnded counts a request that was answered or has failed.
func (d *directory) sendEnded(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.inFlight = max(l.inFlight-1, 0)
	l.sinceObserved = max(l.sinceObserved-1, 0)
}

// observe records the load of a server from an answer or a refusal.
func (d *directory) observe(node string, load call.Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.load, l.observedAt, l.sinceObserved = load, now, 0
	if !load.Draining {
		l.absences = 0
		return
	}
	if now.Before(l.avoid) {
		return // the request was sent before the backoff began
	}
	l.avoid = now.Add(min(minAbsentBackoff<<min(l.absences, 8), maxAbsentBackoff))
	l.absences++
}

// observeOutcome updates the failure rate of a server and avoids a server that fails
// often.
func (d *directory) observeOutcome(node string, failed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.samples = min(l.samples+1, failureSamples)
	value := 0.0
	if failed {
		value = 1
	}
	l.failureRate += (value - l.failureRate) / l.samples
	if failed && l.samples >= failureSamples/2 && l.failureRate >= failureThreshold {
		l.avoid = now.Add(unhealthyTime)
	}
}
