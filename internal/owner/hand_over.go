package owner

import (
	"context"
	"math"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// handOverPoll is the interval between checks of the maps during a hand-over.
	handOverPoll = 100 * time.Millisecond
	// handOverStall is the time without progress after which a hand-over is given up,
	// because the table service or the other members of the pairs do not respond.
	handOverStall = 5 * time.Second
	// handOverTimeout leaves a node that stops the time for its longest request.
	handOverTimeout = 12 * time.Second
)

// HandOver moves the shards of this node to other members before a planned
// shutdown. The membership must list this node as leaving first, so that owners
// replace it as a backup. HandOver returns nil when this node is in no pair. If
// ctx is done first, no shard has moved for handOverStall, or handOverTimeout has
// passed, it returns an error; the remaining shards refuse new keys until they are
// repaired.
func (c *Controller) HandOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	fewest, progress := math.MaxInt, time.Now()
	for {
		c.startRepair() // to replace lost backups and to transfer records
		left := 0
		for _, service := range c.maps.services() {
			left += c.handOverMap(ctx, service)
		}
		if left == 0 {
			return nil
		}
		if left < fewest {
			fewest, progress = left, time.Now()
		}
		if !c.hasOtherMember() {
			return fault.New(fault.KindNoOwner, "no other member can take the %d shards of node %s", left, c.Records.Self.ID)
		}
		if ctx.Err() != nil || time.Since(progress) >= handOverStall {
			return fault.New(fault.KindNoOwner, "%d shards are still assigned to node %s", left, c.Records.Self.ID).
				WithRemedy("the shards are repaired once the node has stopped and the table service is available")
		}
		clock.Sleep(ctx, handOverPoll)
	}
}

// handOverMap hands over the synced shards of a service that this node owns, and
// returns how many of its shards still have this node in their pair.
func (c *Controller) handOverMap(ctx context.Context, service string) int {
	m, err := c.load(ctx, service, c.now().Add(-handOverPoll/2))
	if err == nil && len(c.handOvers(m)) > 0 {
		c.commit(ctx, service, c.handOvers)
	}
	m, _, _ = c.maps.get(c.maps.entry(service))
	if len(m.Shards) == 0 {
		return 1
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
