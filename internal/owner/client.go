package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

const (
	// claimTimeout bounds how long a request waits for its claim. A dead
	// backup is replaced within about 2 s.
	claimTimeout = time.Second
	// messageTimeout bounds the other control messages and each table access.
	messageTimeout = 2 * time.Second
	// chunkSize bounds a chunk of a transfer in bytes.
	chunkSize = 256 << 10
	// settleTries is how often a settlement is sent. A lost one makes the key
	// unknown if the owner is lost too.
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

// claim asks the backup to store the key. Any error means that the key must
// not be run under this claim.
func (c *Controller) claim(ctx context.Context, backup once.Ref, claim once.Claim) (verdictReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	b, err := c.control(ctx, backup, KindClaim, claim)
	if err != nil {
		return verdictReply{}, err
	}
	return decode[verdictReply](b)
}

// settle stores how an attempt ended here and tells the rest of the pair
// without waiting.
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

// announce tells the members of the old and the new pair of a shard.
func (c *Controller) announce(old, next once.Shard) {
	kind := KindPromote
	if old.Owner == c.Records.Self && next.Owner != old.Owner {
		kind = KindHandOver
	}
	told := map[once.Ref]bool{c.Records.Self: true, {}: true}
	for _, r := range [...]once.Ref{next.Owner, next.Backup, old.Owner, old.Backup} {
		if told[r] || c.Members.Status(r) == once.Replaced {
			continue
		}
		told[r] = true
		c.tell(r, kind, next)
	}
}

// tell sends a shard as it stands in the table, without waiting. A node that
// misses it learns the shard from the table or from a message of its epoch.
func (c *Controller) tell(to once.Ref, kind string, s once.Shard) {
	c.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		defer cancel()
		_, _ = c.control(ctx, to, kind, s)
	})
}

// transfer copies all records of a shard to its backup.
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
			c.signal()
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
	c.learn(reply.Shard, handOverGrace)
	return fault.New(fault.KindNoOwner, "node %s refused records of shard %d of %s (verdict %d)",
		chunk.Shard.Backup.ID, chunk.Shard.Index, chunk.Shard.Service, reply.Verdict)
}
