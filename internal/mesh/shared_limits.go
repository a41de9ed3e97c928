package mesh

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// learned keeps what a node found out of its server's slots.
func (d *directory) learned(node string, s slots.Summary) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(node).learned = s
}

// summaries returns what nodes of this node's service found out.
func (d *directory) summaries() []slots.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []slots.Summary
	for node, l := range d.loads {
		if e, ok := d.roster.Get(node); ok && l.learned != nil && e.Service == d.Service && node != d.Node {
			all = append(all, l.learned)
		}
	}
	return all
}

// tellLimit reports whether a node should be told what this one found out of its
// server's slots: from time to time, and only where it is cheap.
func (d *directory) tellLimit(node string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.roster.Get(node)
	if !ok || e.Service != d.Service || d.distance(e) == placement.OtherRegion {
		return false
	}
	l := d.loadOf(node)
	if now.Sub(l.told) < toldInterval {
		return false
	}
	l.told = now
	return true
}
