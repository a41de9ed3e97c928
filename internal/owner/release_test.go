package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/once"
)

// TestNextOwnerWaitsForSettlement guards against a new owner that answers "still
// running" for a key because the settlement of the previous owner is delayed.
func TestNextOwnerWaitsForSettlement(t *testing.T) {
	cases := map[string]struct {
		// moves calls move during an event at the owner.
		moves func(owner *testNode, move func())
		// resend also resends the key after its first answer.
		resend bool
		// delay is that of the settlement; zero means 20 ms.
		delay time.Duration
	}{
		"pair changes before the claim is confirmed": {moves: func(owner *testNode, move func()) {
			owner.afterDelivery = func(kind string) {
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
		"settlement after more than a second": {delay: 1200 * time.Millisecond, moves: func(owner *testNode, move func()) {
			owner.afterDelivery = func(kind string) {
				if kind == KindClaim {
					move()
				}
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
			c.waitIdle()
			move := sync.OnceFunc(func() {
				c.setStatus(s.Owner, once.Leaving)
				owner.handOverMap(t.Context(), "orders")
			})
			tc.moves(owner, move)
			owner.beforeDelivery = func(kind string) {
				if kind == KindSettle {
					time.Sleep(max(tc.delay, 20*time.Millisecond)) // simulate a slow link
				}
			}
			key := otherKeyOf(s)
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

// TestShardThatMovesTwice guards against the refusal of a new key during a
// rolling replacement, when the shard moves a second time while the key is being
// claimed.
func TestShardThatMovesTwice(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1", "d1", "e1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, _, _, _ := c.pair(t, "k")
	c.waitIdle()
	key, moves := otherKeyOf(s), 0
	for _, n := range c.nodes {
		n.afterDelivery = func(kind string) {
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

// TestRefusalByOwnerIsNotFinal guards against the refusal of a new key whose owner
// cannot run it yet, although the deadline allows another try.
func TestRefusalByOwnerIsNotFinal(t *testing.T) {
	c := newCluster(t, "a1", "b1", "c1")
	c.nodes["a1"].expect(t, "", request("k"))
	s, owner, _, third := c.pair(t, "k")
	c.waitIdle()
	owner.dropKind.Store(KindClaim)
	time.AfterFunc(50*time.Millisecond, func() { owner.dropKind.Store("") })
	key := otherKeyOf(s)
	_, _, err := third.send(t, request(key))
	assert.NilError(t, err)
	assert.Equal(t, c.runs(key), 1)
}

// TestSlowHandOverIsNotGivenUp guards against a stopping owner that keeps shards,
// whose keys are then refused, although its hand-over makes progress.
func TestSlowHandOverIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a1", "b1", "c1")
		owner := c.nodes["a1"]
		owner.beforeDelivery = func(kind string) {
			if kind == KindTransfer {
				time.Sleep(700 * time.Millisecond)
			}
		}
		_, err := owner.load(t.Context(), "orders", time.Time{})
		assert.NilError(t, err)
		c.setStatus(owner.Records.Self, once.Leaving)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for _, id := range []string{"b1", "c1"} {
			go func() {
				for ; ctx.Err() == nil; clock.Sleep(ctx, time.Second) {
					_, _ = c.nodes[id].load(ctx, "orders", time.Time{})
					c.nodes[id].Repair(ctx)
				}
			}()
		}
		started := time.Now()
		assert.NilError(t, owner.HandOver(ctx))
		assert.Assert(t, time.Since(started) > handOverStall, "the hand-over took only %v", time.Since(started))
	})
}

// TestHandOverEndsWithoutProgress guards against a stop that waits for a table service
// that is down.
func TestHandOverEndsWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, "a1", "b1", "c1")
		c.nodes["a1"].expect(t, "", request("k"))
		c.table.set(true, false)
		started := time.Now()
		assert.ErrorContains(t, c.nodes["a1"].HandOver(t.Context()), "still assigned")
		assert.Assert(t, time.Since(started) < 2*handOverStall)
	})
}
