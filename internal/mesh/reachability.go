package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// markUnreachable excludes a node from requests until it answers a probe.
func (d *directory) markUnreachable(node string, cause error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.roster.Get(node); !known {
		return
	}
	if !d.exclude(node, now) {
		return
	}
	d.Log.WithError(cause).WithField("node", node).WithField("out", len(d.down)).Warn("node cannot be reached")
}

// exclude excludes a node from requests until it answers a probe, and reports whether it
// was not excluded before. The caller holds d.mu.
func (d *directory) exclude(node string, now time.Time) bool {
	if !d.loadOf(node).reach.Failed(now) {
		return false
	}
	if d.down == nil {
		d.down = make(map[string]struct{})
	}
	d.down[node] = struct{}{}
	return true
}

// markReachable records an answer of a node.
func (d *directory) markReachable(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[node]; l != nil && l.reach.Answered() {
		delete(d.down, node)
		d.Log.WithField("node", node).WithField("out", len(d.down)).Info("node can be reached again")
	}
}

// messageReceived records a message from a node. An unreachable node is probed at
// once.
func (d *directory) messageReceived(node string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.forgotten, node)
	if l := d.loads[node]; l != nil {
		l.reach.ProbeNow(now)
	}
}

// dueProbes returns the nodes to probe now, and those that have been unreachable for
// so long that they are considered lost.
func (d *directory) dueProbes(now time.Time) (probe, lost []roster.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.down {
		e, known := d.roster.Get(node)
		l := d.loads[node]
		switch {
		case !known || l == nil:
			delete(d.down, node)
		case l.reach.Expired(now):
			lost = append(lost, e)
		case l.reach.ProbeDue(now):
			probe = append(probe, e)
		}
	}
	return probe, lost
}
