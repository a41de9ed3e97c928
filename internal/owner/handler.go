package owner

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// Controls returns the control message handlers for node.Transport.
func (c *Controller) Controls() map[string]node.ControlFunc {
	return map[string]node.ControlFunc{
		KindClaim:    c.serveClaim,
		KindSettle:   c.serveSettle,
		KindTransfer: c.serveTransfer,
		KindHandOver: c.serveShard(handOverGrace),
		KindPromote:  c.serveShard(0),
	}
}

func (c *Controller) serveClaim(_ context.Context, _ string, body []byte) ([]byte, error) {
	claim, err := decode[once.Claim](body)
	if err != nil {
		return nil, err
	}
	shard, verdict := c.Records.Claim(claim, c.now())
	return encode(verdictReply{Verdict: verdict, Shard: shard})
}

func (c *Controller) serveSettle(_ context.Context, _ string, body []byte) ([]byte, error) {
	s, err := decode[once.Settlement](body)
	if err != nil {
		return nil, err
	}
	c.Records.Settle(s, c.now())
	c.notifyWaiters()
	return nil, nil
}

func (c *Controller) serveTransfer(_ context.Context, _ string, body []byte) ([]byte, error) {
	chunk, err := decode[once.Chunk](body)
	if err != nil {
		return nil, err
	}
	c.maps.replaceShard(chunk.Shard)
	shard, verdict := c.Records.Import(chunk, c.now())
	return encode(verdictReply{Verdict: verdict, Shard: shard})
}

// serveShard applies a shard that the sender has read from the table or written
// to it.
func (c *Controller) serveShard(grace time.Duration) node.ControlFunc {
	return func(_ context.Context, _ string, body []byte) ([]byte, error) {
		shard, err := decode[once.Shard](body)
		if err != nil {
			return nil, err
		}
		c.updateShard(shard, grace)
		return nil, nil
	}
}
