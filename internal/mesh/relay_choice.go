package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

// avoidRelay excludes a node from the relays until a time.
func (d *directory) avoidRelay(node string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.loadOf(node).relayAvoidedUntil = until
}

// relays returns the nodes to follow, those of this region first and in random order;
// nil means that this node follows the registry.
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
		if l := d.loads[e.Node]; l != nil && now.Before(l.relayAvoidedUntil) {
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
