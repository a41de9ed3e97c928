package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// handOverPoll is the time between two looks at the maps during a hand-over.
const handOverPoll = 100 * time.Millisecond

// HandOver moves the shards of this node to other members before a planned
// stop. Announce the leaving first: owners then replace this node as a backup.
// It returns when no pair names this node, or with an error when ctx is done;
// the remaining shards refuse new keys until they are repaired.
func (c *Controller) HandOver(ctx context.Context) error {
	for {
		c.wake() // to replace lost backups and to copy records
		left := 0
		for _, service := range c.rows.names() {
			left += c.handOverMap(ctx, service)
		}
		if left == 0 {
			return nil
		}
		if !c.others() {
			return fault.New(fault.KindNoOwner, "no other member can take the %d shards of node %s", left, c.Records.Self.ID)
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.KindNoOwner, "%d shards still name node %s", left, c.Records.Self.ID).
				WithRemedy("they are repaired when the node has stopped and the store is up")
		case <-time.After(handOverPoll):
		}
	}
}

// handOverMap gives the owned shards of a service away and returns how many
// shards still name this node.
func (c *Controller) handOverMap(ctx context.Context, service string) int {
	m, err := c.load(ctx, service, c.now().Add(-handOverPoll/2))
	if err != nil {
		return 1
	}
	if len(c.handOvers(m)) > 0 {
		c.commit(ctx, service, c.handOvers)
		m, _, _ = c.rows.get(c.rows.row(service))
	}
	left := 0
	for _, s := range m.Shards {
		if s.Has(c.Records.Self) {
			left++
		}
	}
	return left
}

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

// others reports whether another member may be given a shard.
func (c *Controller) others() bool {
	for _, m := range c.Members.Members() {
		if m.Ref != c.Records.Self {
			return true
		}
	}
	return false
}
