package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// claimTimeout bounds how long a request waits for the backup to accept its
	// claim. A dead backup is replaced within about 2 s.
	claimTimeout = time.Second
	// messageTimeout bounds each control message except a claim, and each read
	// (including the creation) or write of a table row.
	messageTimeout = 2 * time.Second
	// chunkSize is the approximate size in bytes of a transfer chunk.
	chunkSize = 256 << 10
	// settleTries is the number of times that a settlement is sent. If it never
	// arrives and the owner is lost too, the outcome of the key is unknown.
	settleTries = 3
)

func (c *Controller) control(ctx context.Context, to once.Ref, kind string, message any) ([]byte, error) {
	peer, ok := c.Members.Peer(to)
	if !ok {
		return nil, fault.New(fault.KindUnreachable, "address of node %s is not known", to.ID).WithOutcome(fault.Refused)
	}
	body, err := encode(message)
	if err != nil {
		return nil, err
	}
	return c.Network.Control(ctx, peer, kind, body)
}

// claim sends a claim to the backup. After an error, the request must not be run
// under this claim.
func (c *Controller) claim(ctx context.Context, backup once.Ref, claim once.Claim) (verdictReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	b, err := c.control(ctx, backup, KindClaim, claim)
	if err != nil {
		return verdictReply{}, err
	}
	return decode[verdictReply](b)
}

// settle stores the outcome of an attempt and sends it in the background to the
// other members of the pair.
func (c *Controller) settle(claim once.Claim, outcome once.Outcome, answer []byte) {
	s := once.Settlement{Claim: claim, Outcome: outcome, Answer: answer}
	c.Records.Settle(s, c.now())
	shard, _ := c.Records.Shard(claim.Service, claim.Index)
	for _, r := range [...]once.Ref{shard.Owner, shard.Backup} {
		if !r.IsZero() && r != c.Records.Self {
			c.tasks.Go(func() { c.sendSettlement(r, s) })
		}
	}
}

func (c *Controller) sendSettlement(to once.Ref, s once.Settlement) {
	for range settleTries {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		_, err := c.control(ctx, to, KindSettle, s)
		cancel()
		if err == nil {
			return
		}
	}
}

// notifyPairs sends a changed shard to the old and the new pair.
func (c *Controller) notifyPairs(old, next once.Shard) {
	kind := KindPromote
	if old.Owner == c.Records.Self && next.Owner != old.Owner {
		kind = KindHandOver
	}
	notified := map[once.Ref]bool{c.Records.Self: true, {}: true}
	for _, r := range [...]once.Ref{next.Owner, next.Backup, old.Owner, old.Backup} {
		if notified[r] || c.Members.Status(r) == once.Replaced {
			continue
		}
		notified[r] = true
		c.sendShard(r, kind, next)
	}
}

// sendShard sends a shard as written in the table, in the background. A node that
// does not receive it gets the shard from the table or from a later message.
func (c *Controller) sendShard(to once.Ref, kind string, s once.Shard) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		defer cancel()
		_, _ = c.control(ctx, to, kind, s)
	})
}

// transfer sends all records of a shard to its backup.
func (c *Controller) transfer(ctx context.Context, s once.Shard) error {
	t := c.Records.Transfer(s)
	if t == nil {
		return nil
	}
	for {
		chunk, ok := t.Next(chunkSize, c.now())
		if !ok {
			return nil
		}
		if err := c.sendChunk(ctx, chunk); err != nil {
			return err
		}
		if chunk.Last {
			t.Finish()
			c.notifyWaiters()
			return nil
		}
	}
}

func (c *Controller) sendChunk(ctx context.Context, chunk once.Chunk) error {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	b, err := c.control(ctx, chunk.Shard.Backup, KindTransfer, chunk)
	if err != nil {
		return err
	}
	reply, err := decode[verdictReply](b)
	if err != nil {
		return err
	}
	if reply.Verdict == once.VerdictAccepted {
		return nil
	}
	c.updateShard(reply.Shard, handOverGrace)
	return fault.New(fault.KindNoOwner, "node %s refused records of shard %d of %s (verdict %d)",
		chunk.Shard.Backup.ID, chunk.Shard.Index, chunk.Shard.Service, reply.Verdict)
}
