package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// passOver follows a node no more until a time.
func (d *directory) passOver(node string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(node).noRelay = until
}

// relays returns the nodes to follow, in an order of this node's own; nil means
// that this node follows the registry.
func (d *directory) relays(now time.Time) []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.roster.Relays(d.Region, func(e roster.Entry) bool {
		l := d.loads[e.Node]
		return l == nil || !l.reach.Unreachable()
	})
	region := 0
	kept := all[:0]
	for _, e := range all {
		if e.Node == d.Node {
			return nil
		}
		if l := d.loads[e.Node]; l != nil && now.Before(l.noRelay) {
			continue
		}
		if e.Region == d.Region {
			region++
		}
		kept = append(kept, e)
	}
	rand.Shuffle(region, func(i, j int) { kept[i], kept[j] = kept[j], kept[i] })
	return kept
}
