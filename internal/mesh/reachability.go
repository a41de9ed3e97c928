package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// unreachable sends a node no more requests until a probe comes back.
func (d *directory) unreachable(node string, cause error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.roster.Get(node); !known {
		return
	}
	if !d.loadOf(node).reach.Failed(now) {
		return
	}
	if d.out == nil {
		d.out = make(map[string]struct{})
	}
	d.out[node] = struct{}{}
	d.Log.WithError(cause).WithField("node", node).WithField("out", len(d.out)).Warn("node cannot be reached")
}

// reached notes that a node has reacted.
func (d *directory) reached(node string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[node]; l != nil && l.reach.Answered() {
		delete(d.out, node)
		d.Log.WithField("node", node).WithField("out", len(d.out)).Info("node can be reached again")
	}
}

// heard notes that a node has sent something.
func (d *directory) heard(node string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.loads[node]; l != nil {
		l.reach.ProbeNow(now)
	}
}

// due returns the nodes to probe now, and those that have been out for so long
// that they are gone.
func (d *directory) due(now time.Time) (probe, lost []roster.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for node := range d.out {
		e, known := d.roster.Get(node)
		l := d.loads[node]
		switch {
		case !known || l == nil:
			delete(d.out, node)
		case l.reach.Expired(now):
			lost = append(lost, e)
		case l.reach.ProbeDue(now):
			probe = append(probe, e)
		}
	}
	return probe, lost
}
