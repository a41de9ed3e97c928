package owner

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// pollPeriod is the age at which a cached map is read again. With 710 nodes
	// of six maps each, this causes about 70 reads a second.
	pollPeriod = time.Minute
	// repairTimeout bounds one repair round over all maps.
	repairTimeout = 10 * time.Second
)

// Tick removes expired records and starts a repair round. Call it every second.
// It does not wait for the network.
func (c *Controller) Tick(now time.Time) {
	c.Records.Tick(now)
	c.startRepair()
}

// startRepair starts a repair round in the background. If one is running, another
// follows it. Only one goroutine runs rounds. It checks repairRequested again after
// it has cleared repairing, because a request made between the last round and that
// moment starts no goroutine of its own.
func (c *Controller) startRepair() {
	c.repairRequested.Store(true)
	if !c.repairing.CompareAndSwap(false, true) {
		return
	}
	c.tasks.Go(func() {
		for ok := true; ok; ok = c.repairRequested.Load() && c.repairing.CompareAndSwap(false, true) {
			for c.repairRequested.CompareAndSwap(true, false) {
				ctx, cancel := context.WithTimeout(context.Background(), repairTimeout)
				c.Repair(ctx)
				cancel()
			}
			c.repairing.Store(false)
		}
	})
}

// Repair runs one repair round over the maps in use. It reads old maps again,
// writes the changes that this node may make, and transfers records to new backups.
func (c *Controller) Repair(ctx context.Context) {
	c.transferUnsynced(ctx)
	for _, service := range c.maps.services() {
		m, err := c.load(ctx, service, c.now().Add(-pollPeriod))
		if err != nil {
			return // no change can be written without the table service
		}
		c.repairMap(ctx, m)
	}
	c.transferUnsynced(ctx)
}

// transferUnsynced transfers the records of each owned shard whose backup lacks some.
func (c *Controller) transferUnsynced(ctx context.Context) {
	for _, s := range c.Records.Unsynced() {
		if err := c.transfer(ctx, s); err != nil {
			c.shardLog(s).WithError(err).Warn("records were not transferred to the backup; new keys of the shard are refused")
		}
	}
}

func (c *Controller) repairMap(ctx context.Context, m once.Map) {
	switch {
	case len(c.repairs(m)) > 0:
		c.commit(ctx, m.Service, c.repairs)
	case len(c.rebalances(m)) > 0:
		c.commit(ctx, m.Service, c.rebalances)
	}
}

// commit writes a change, logs it, and notifies the affected nodes.
func (c *Controller) commit(ctx context.Context, service string, decide changeFunc) {
	old, changed, err := c.write(ctx, service, decide)
	if err != nil {
		c.log().WithField("service", service).WithError(err).Warn("shard map was not changed; the next repair round retries")
		return
	}
	for _, s := range changed {
		c.notifyPairs(old.Shards[s.Index], s)
		c.shardLog(s).WithField("lost", s.LossEpoch == s.Epoch).Info("shard has a new pair")
	}
}

// shardLog returns a log entry with the fields of a shard.
func (c *Controller) shardLog(s once.Shard) *log.Entry {
	return c.log().WithFields(log.Fields{
		"service": s.Service, "shard": s.Index, "epoch": s.Epoch, "owner": s.Owner.ID, "backup": s.Backup.ID,
	})
}

// repairs returns the shards whose pair this node must change. If both processes
// of a pair have ended, only the node that becomes the owner writes the change,
// so that the nodes do not all write at once.
func (c *Controller) repairs(m once.Map) []once.Shard {
	var changed []once.Shard
	for i, s := range m.Shards {
		known, complete := c.Records.Shard(m.Service, i)
		next, ok := once.Repair(c.Records.Self, m, i, complete && known == s, c.Members)
		if ok && (s.Has(c.Records.Self) || next.Owner == c.Records.Self) {
			changed = append(changed, next)
			m = m.With(next)
		}
	}
	return changed
}

// notifyNewOwner starts a repair. If both processes of the shard's pair have
// ended, it also sends the shard to the node that is to own it, because that node
// may not have the shard map in use.
func (c *Controller) notifyNewOwner(m once.Map, s once.Shard) {
	c.startRepair()
	next, ok := once.Repair(c.Records.Self, m, s.Index, false, c.Members)
	if ok && !s.Has(c.Records.Self) && next.Owner != c.Records.Self {
		c.sendShard(next.Owner, KindPromote, s)
	}
}

// rebalances returns at most one step towards an even distribution of shards.
func (c *Controller) rebalances(m once.Map) []once.Shard {
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

// Reset assigns a new pair without records to a shard. An operator must have
// confirmed that both processes of the old pair have ended. The outcome of every
// key of the shard is unknown until the records of the old pair would have expired,
// a minute after once.Window. Repeating the latest reset of a shard, by its id on any
// node, has no effect; the id must not be zero.
func (c *Controller) Reset(ctx context.Context, service string, index int, id uint64) error {
	if index < 0 || index >= once.Shards {
		return fault.New(fault.KindBadRequest, "shard %d does not exist; shards are 0 to %d", index, once.Shards-1)
	}
	repeated := false
	reset := func(m once.Map) []once.Shard {
		next, ok := m.Reset(index, c.Members)
		if repeated = m.Shards[index].ResetID == id; repeated || !ok {
			return nil
		}
		return []once.Shard{next.WithResetID(id)}
	}
	old, changed, err := c.write(ctx, service, reset)
	if fault.Is(err, fault.KindConflict) {
		// The cached map was out of date; write has read the row since.
		old, changed, err = c.write(ctx, service, reset)
	}
	if err != nil || repeated {
		return err
	}
	if len(changed) == 0 {
		return fault.New(fault.KindNoServer, "no member outside the old pair can own shard %d of %s", index, service)
	}
	for _, s := range changed {
		c.notifyPairs(old.Shards[s.Index], s)
	}
	return nil
}
