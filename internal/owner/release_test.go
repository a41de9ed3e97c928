package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// TestNextOwnerWaitsForSettlement guards against a key that the next owner calls
// running, because the settlement of the stopping owner is still on its way.
func TestNextOwnerWaitsForSettlement(t *testing.T) {
	cases := map[string]struct {
		// moves is the event at the owner during which its shards move.
		moves func(owner *testNode, move func())
		// resend is true for a key that has been answered before.
		resend bool
	}{
		"pair changes before the claim is confirmed": {moves: func(owner *testNode, move func()) {
			owner.delivered = func(kind string) {
				if kind == KindClaim {
					move()
				}
			}
		}},
		"server refuses after the hand-over": {moves: func(owner *testNode, move func()) {
			owner.next = func(context.Context, call.Request) (*call.Answer, error) {
				move()
				return nil, fault.New(fault.KindUnreachable, "no connection").WithOutcome(fault.Refused)
			}
		}},
		"resend after the hand-over": {resend: true, moves: func(owner *testNode, move func()) {
			owner.next = func(_ context.Context, r call.Request) (*call.Answer, error) {
				move()
				return owner.execute(r), nil
			}
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a1", "b1", "c1")
			c.nodes["a1"].expect(t, "", request("k"))
			s, owner, _, third := c.pair(t, "k")
			c.settled()
			move := sync.OnceFunc(func() {
				c.setStatus(s.Owner, once.Leaving)
				owner.handOverMap(t.Context(), "orders")
			})
			tc.moves(owner, move)
			owner.sending = func(kind string) {
				if kind == KindSettle {
					time.Sleep(20 * time.Millisecond) // the delay of a slow link
				}
			}
			key := sameShard(s)
			third.expect(t, "", request(key))
			if tc.resend {
				_, answer := third.expect(t, "", request(key))
				assert.Assert(t, answer.Replayed)
			}
			moved, err := third.load(t.Context(), "orders", time.Now())
			assert.NilError(t, err)
			assert.Assert(t, moved.Shards[s.Index].Owner != s.Owner)
			assert.Equal(t, c.runs(key), 1)
		})
	}
}

// TestShardThatMovesTwice guards against a refusal of a new key in a rolling
// replacement, where the shard's next pair changes too while the key is claimed.
func TestShardThatMovesTwice(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1", "d1", "e1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, _, _, _ := c.pair(t, "k")
	c.settled()
	key, moves := sameShard(s), 0
	for _, n := range c.nodes {
		n.delivered = func(kind string) {
			if kind != KindClaim || moves == 2 {
				return
			}
			moves++
			c.setStatus(n.Records.Self, once.Leaving)
			n.handOverMap(t.Context(), "orders")
		}
	}
	_, _, err := c.nodes["a1"].send(t, request(key))
	assert.NilError(t, err)
	assert.Equal(t, moves, 2)
	assert.Equal(t, c.runs(key), 1)
}
