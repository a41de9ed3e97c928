package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// handOverPoll is the interval between checks of the maps during a hand-over.
const handOverPoll = 100 * time.Millisecond

// HandOver moves the shards of this node to other members before a planned
// shutdown. The membership must list this node as leaving first, so that owners
// replace it as a backup. HandOver returns nil when this node is in no pair. If
// ctx is done first, it returns an error; the remaining shards refuse new keys
// until they are repaired.
func (c *Controller) HandOver(ctx context.Context) error {
	for {
		c.startRepair() // to replace lost backups and to transfer records
		left := 0
		for _, service := range c.maps.services() {
			left += c.handOverMap(ctx, service)
		}
		if left == 0 {
			return nil
		}
		if !c.hasOtherMember() {
			return fault.New(fault.KindNoOwner, "no other member can take the %d shards of node %s", left, c.Records.Self.ID)
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.KindNoOwner, "%d shards are still assigned to node %s", left, c.Records.Self.ID).
				WithRemedy("the shards are repaired once the node has stopped and the table service is available")
		case <-time.After(handOverPoll):
		}
	}
}

// handOverMap hands over the synced shards of a service that this node owns, and
// returns how many of its shards still have this node in their pair.
func (c *Controller) handOverMap(ctx context.Context, service string) int {
	m, err := c.load(ctx, service, c.now().Add(-handOverPoll/2))
	if err != nil {
		return 1
	}
	if len(c.handOvers(m)) > 0 {
		c.commit(ctx, service, c.handOvers)
		m, _, _ = c.maps.get(c.maps.entry(service))
	}
	left := 0
	for _, s := range m.Shards {
		if s.Has(c.Records.Self) {
			left++
		}
	}
	return left
}

// handOvers returns the synced shards of this node with the epochs that hand them
// over.
func (c *Controller) handOvers(m once.Map) []once.Shard {
	var changed []once.Shard
	for i, s := range m.Shards {
		if s.Owner != c.Records.Self || !c.Records.Synced(s) {
			continue
		}
		if next, ok := m.HandOver(i, c.Members); ok {
			changed = append(changed, next)
			m = m.With(next)
		}
	}
	return changed
}

// hasOtherMember reports whether another member is eligible for shards.
func (c *Controller) hasOtherMember() bool {
	for _, m := range c.Members.Members() {
		if m.Ref != c.Records.Self {
			return true
		}
	}
	return false
}
