package owner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// pollPeriod is the age at which a cached map is read again. At 710 nodes
	// with six maps each this makes about 70 reads a second.
	pollPeriod = time.Minute
	// repairTimeout bounds one round over all maps.
	repairTimeout = 10 * time.Second
)

// Tick expires records and starts a round of repairs unless one runs. Call it
// every second; it does not wait for the network.
func (c *Controller) Tick(now time.Time) {
	c.Records.Tick(now)
	c.wake()
}

// wake starts a round of repairs. One that is asked for while another runs
// follows it.
func (c *Controller) wake() {
	c.again.Store(true)
	if !c.repairing.CompareAndSwap(false, true) {
		return
	}
	c.tasks.Go(func() {
		for ok := true; ok; ok = c.again.Load() && c.repairing.CompareAndSwap(false, true) {
			for c.again.CompareAndSwap(true, false) {
				ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
				c.Repair(ctx)
				cancel()
			}
			c.repairing.Store(false)
		}
	})
}

// Repair makes one round over the maps in use: it refreshes old ones, writes
// the changes that this node may write, and copies records to new backups.
func (c *Controller) Repair(ctx context.Context) {
	c.copyRecords(ctx)
	for _, service := range c.rows.names() {
		m, err := c.load(ctx, service, c.now().Add(-pollPeriod))
		if err != nil {
			return // without the store nothing can be changed
		}
		c.repairMap(ctx, m)
	}
	c.copyRecords(ctx)
}

func (c *Controller) copyRecords(ctx context.Context) {
	for _, s := range c.Records.Unsynced() {
		if err := c.transfer(ctx, s); err != nil {
			c.logShard(s).WithError(err).Warn("records were not copied to the backup; new keys of the shard are refused")
		}
	}
}

func (c *Controller) repairMap(ctx context.Context, m once.Map) {
	switch {
	case len(c.repairs(m)) > 0:
		c.commit(ctx, m.Service, c.repairs)
	case len(c.moves(m)) > 0:
		c.commit(ctx, m.Service, c.moves)
	}
}

// commit writes a change, tells the nodes concerned and logs it.
func (c *Controller) commit(ctx context.Context, service string, decide change) {
	old, changed, err := c.write(ctx, service, decide)
	if err != nil {
		c.log().WithField("service", service).WithError(err).Warn("shard map was not changed; the next round tries again")
		return
	}
	for _, s := range changed {
		c.announce(old.Shards[s.Index], s)
		c.logShard(s).WithField("lost", s.LossEpoch == s.Epoch).Info("shard has a new pair")
	}
}

func (c *Controller) logShard(s once.Shard) *log.Entry {
	return c.log().WithFields(log.Fields{
		"service": s.Service, "shard": s.Index, "epoch": s.Epoch, "owner": s.Owner.ID, "backup": s.Backup.ID,
	})
}

// repairs lists the shards whose pair this node must change. A shard whose
// pair is gone is left to the node that shall own it, so that not all nodes
// write at once.
func (c *Controller) repairs(m once.Map) []once.Shard {
	var changed []once.Shard
	for i, s := range m.Shards {
		known, holds := c.Records.Shard(m.Service, i)
		next, ok := once.Repair(c.Records.Self, m, i, holds && known == s, c.Members)
		if ok && (s.Has(c.Records.Self) || next.Owner == c.Records.Self) {
			changed = append(changed, next)
			m = m.With(next)
		}
	}
	return changed
}

// poke tells the node that shall own a shard whose pair is gone; it may not
// have the shard's map in use.
func (c *Controller) poke(m once.Map, s once.Shard) {
	c.wake()
	next, ok := once.Repair(c.Records.Self, m, s.Index, false, c.Members)
	if ok && !s.Has(c.Records.Self) && next.Owner != c.Records.Self {
		c.tell(next.Owner, KindPromote, s)
	}
}

// moves returns one step towards an even spread over the members.
func (c *Controller) moves(m once.Map) []once.Shard {
	for i, s := range m.Shards {
		if s.Owner != c.Records.Self || !s.Backup.IsZero() && !c.Records.Synced(s) {
			continue
		}
		if next, ok := m.Rebalance(i, c.Members); ok {
			return []once.Shard{next}
		}
	}
	return nil
}

// Reset gives a shard a new pair without records on an operator's word that no
// process of the old pair is left. All its keys are unknown for one window.
func (c *Controller) Reset(ctx context.Context, service string, index int) error {
	if index < 0 || index >= once.Shards {
		return fault.New(fault.KindBadRequest, "shard %d does not exist; shards are 0 to %d", index, once.Shards-1)
	}
	old, changed, err := c.write(ctx, service, func(m once.Map) []once.Shard {
		if next, ok := m.Reset(index, c.Members); ok {
			return []once.Shard{next}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if len(changed) == 0 {
		return fault.New(fault.KindNoServer, "no member outside the old pair can own shard %d of %s", index, service)
	}
	for _, s := range changed {
		c.announce(old.Shards[s.Index], s)
	}
	return nil
}
