package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// setSummary stores the summary that a node sent of its server's slots.
func (d *directory) setSummary(node string, s slots.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(node).summary = s
}

// summaries returns the summaries of the other nodes of this node's service.
func (d *directory) summaries() []slots.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []slots.Summary
	for node, l := range d.loads {
		if e, ok := d.roster.Get(node); ok && l.summary != nil && e.Service == d.backend().Service && node != d.Node {
			all = append(all, l.summary)
		}
	}
	return all
}

// summaryDue reports whether a node should now be sent the summary of this node's
// slots, and records that it is sent. Summaries go only to nodes of the same service
// that are not in another region, where traffic is expensive.
func (d *directory) summaryDue(node string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.roster.Get(node)
	if !ok || e.Service != d.backend().Service || d.distance(e) == placement.OtherRegion {
		return false
	}
	l := d.loadOf(node)
	if now.Sub(l.summarySent) < summaryInterval {
		return false
	}
	l.summarySent = now
	return true
}
