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
	// failShare is the share of failed requests from which a server is avoided,
	// and failMemory how many requests weigh in it.
	failShare  = 0.4
	failMemory = 10
	// absentFirst and absentMost bound how long a node without a server that takes
	// requests is passed over; the time doubles as long as it has none. A server that
	// comes back is told of by its node.
	absentFirst = 500 * time.Millisecond
	absentMost  = 2 * time.Second
	// ailingTime is how long a server whose answers fail is avoided before it is
	// tried again.
	ailingTime = time.Second
)

// directory knows the nodes, and the load of the servers beside them.
type directory struct {
	*Options
	mu     sync.Mutex
	roster roster.Roster
	loads  map[string]*serverLoad
	// out holds the nodes that cannot be reached.
	out map[string]struct{}
}

// serverLoad is what this node has seen of one server.
type serverLoad struct {
	load call.Load
	seen time.Time
	// open counts this node's requests at the server, since those that began
	// after seen.
	open, since int
	reach       reach.Peer
	// avoid is until when the server gets no requests, because its answers fail or it
	// takes none.
	avoid time.Time
	// absences counts the refusals in a row because there is no server.
	absences int
	// failed is the smoothed share of failed requests.
	failed  float64
	samples float64
	// learned is what the node found out of its server's slots, and told when it
	// last heard the same of this node's.
	learned slots.Summary
	told    time.Time
	// noRelay is until when the node is not followed.
	noRelay time.Time
}

// merge takes entries and returns those that were new.
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
		if !known || old.Start != e.Start || old.Server != e.Server {
			d.drop(e.Node)
		} else if l := d.loads[e.Node]; l != nil {
			l.avoid, l.absences = time.Time{}, 0
		}
	}
	return changed
}

// drop forgets what was seen of a node's server. It is called with the lock.
func (d *directory) drop(node string) {
	delete(d.loads, node)
	delete(d.out, node)
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
			s.LocalInFlight, s.Unreachable, s.Avoid = l.since, l.reach.Unreachable(), l.avoid
			if !l.seen.IsZero() {
				s.Seen, s.Running, s.Limit, s.Slowdown, s.Wait = l.seen, l.load.InFlight, l.load.Limit, l.load.Slowdown, l.load.Wait
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

// nodes returns the number of known nodes.
func (d *directory) nodes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Len()
}

func (d *directory) forget(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Remove(node)
	d.drop(node)
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

// began counts a request that is sent to a node.
func (d *directory) began(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.open++
	l.since++
}

// ended counts a request that has its answer or has failed.
func (d *directory) ended(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.open = max(l.open-1, 0)
	l.since = max(l.since-1, 0)
}

// observe takes the load of a server from an answer or a refusal.
func (d *directory) observe(node string, load call.Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.load, l.seen, l.since = load, now, 0
	if !load.Draining {
		l.absences = 0
		return
	}
	if now.Before(l.avoid) {
		return // it was asked before that was known
	}
	l.avoid = now.Add(min(absentFirst<<min(l.absences, 8), absentMost))
	l.absences++
}

// outcome counts whether a server's answers fail, and avoids one that fails often.
func (d *directory) outcome(node string, failed bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.loadOf(node)
	l.samples = min(l.samples+1, failMemory)
	value := 0.0
	if failed {
		value = 1
	}
	l.failed += (value - l.failed) / l.samples
	if failed && l.samples >= failMemory/2 && l.failed >= failShare {
		l.avoid = now.Add(ailingTime)
	}
}
