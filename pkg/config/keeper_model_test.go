package config_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/vanillasail/vanillasail/internal/standin/store"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against an accepted version that reverts, two winners among
// conflicting changes, and a change that is applied twice, under outages of the
// store, lost replies, late writes, partitions, restarts and paused nodes (F2,
// F3, F4, F5, F8).
func TestAcceptedVersionsNeverRevert(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		for _, n := range c.nodes {
			n.join(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": c.check, "submit": c.submit, "resend": c.resend, "race": c.race,
			"outage": c.outage, "lose": c.lose, "delay": c.delayWrite, "deliver": c.deliver,
			"send": c.send, "receive": c.receive, "poll": c.poll, "learn": c.learn,
			"restart": c.restart, "cut": c.cutOff, "freeze": c.freeze,
		})
		c.converge(t)
		for name, n := range c.store.Table.Counts().Faults {
			counts[name] += n
		}
		counts["accepted"] += len(c.rows)
		counts["refused"] += len(c.lost)
		counts["late"] += c.delivered
	})
	t.Log(counts)
	for _, name := range []string{"down", "lost", "late", "accepted", "refused"} {
		assert.Assert(t, counts[name] > 0, "%s never happened", name)
	}
}

func (c *cluster) pick(t *rapid.T, label string) *node {
	n := rapid.SampledFrom(c.nodes).Draw(t, label)
	if n.frozen {
		t.Skip("paused")
	}
	return n
}

func (c *cluster) change(t *rapid.T, base config.Version) config.Change {
	id := fmt.Sprintf("change-%d", len(c.sent))
	body := fmt.Sprintf("tenants: {geada: {weight: %d}}", 1+rapid.IntRange(0, 9).Draw(t, "weight"))
	change := config.Change{ID: id, Author: "ana", Reason: "test", Base: base, Body: body}
	c.sent = append(c.sent, change)
	return change
}

// submitTo submits a change and records what its operator is told.
func (n *node) submitTo(t *rapid.T, change config.Change, first bool) {
	r, err := n.keeper.Submit(context.Background(), change)
	switch {
	case err == nil:
		if r.ID != change.ID {
			t.Fatalf("change %s was reported as accepted with the record of %s", change.ID, r.ID)
		}
		n.won[change.ID] = r.Version
	case fault.Is(err, fault.KindWriteUnknown):
	case fault.Is(err, fault.KindConflict):
		n.lost[change.ID] = true
	case first:
		// Only the first submission proves that nothing was applied: an earlier
		// one of the same change may still be on its way.
		n.lost[change.ID] = true
	}
}

func (c *cluster) submit(t *rapid.T) {
	n := c.pick(t, "node")
	base := n.keeper.Version()
	if offset := rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "offset"); offset > 0 || base > 0 {
		base = config.Version(int(base) + offset)
	}
	n.submitTo(t, c.change(t, base), true)
}

func (c *cluster) resend(t *rapid.T) {
	n := c.pick(t, "node")
	if len(c.sent) == 0 {
		t.Skip("nothing was sent")
	}
	if change := rapid.SampledFrom(c.sent).Draw(t, "change"); !c.lost[change.ID] {
		n.submitTo(t, change, false)
	}
}

// race lets a second operator submit while the first one's write is under way.
func (c *cluster) race(t *rapid.T) {
	a, b := c.pick(t, "first"), c.pick(t, "second")
	if a == b {
		t.Skip("one node")
	}
	first := c.change(t, a.keeper.Version())
	second := c.change(t, b.keeper.Version())
	if rapid.Bool().Draw(t, "same") {
		second = first
	}
	a.meanwhile = func() { b.submitTo(t, second, second.ID != first.ID) }
	a.submitTo(t, first, second.ID != first.ID)
	a.meanwhile = nil
}

// seldom is true once in four draws, so that most steps meet a healthy store.
func seldom(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "seldom") == 0 }

func (c *cluster) outage(t *rapid.T) {
	f := c.store.Table.Fault()
	f.Down = seldom(t)
	c.store.Table.SetFault(f)
}

func (c *cluster) lose(t *rapid.T) {
	f := c.store.Table.Fault()
	f.Lose = rapid.IntRange(1, 4).Draw(t, "replies")
	c.store.Table.SetFault(f)
}

func (c *cluster) delayWrite(t *rapid.T) { c.pick(t, "node").delay = true }

func (c *cluster) deliver(t *rapid.T) {
	if len(c.late) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(c.late)-1).Draw(t, "write")
	_, _ = c.serve(c.late[i])
	c.delivered++
	c.late = append(c.late[:i], c.late[i+1:]...)
}

func (c *cluster) send(t *rapid.T) {
	if n := c.pick(t, "from"); n.keeper.Version() > 0 {
		c.mail = append(c.mail, n.keeper.Current().Record)
	}
}

// receive delivers a record that may be old, or was delivered before.
func (c *cluster) receive(t *rapid.T) {
	n := c.pick(t, "to")
	if len(c.mail) == 0 {
		t.Skip("no record under way")
	}
	r := rapid.SampledFrom(c.mail).Draw(t, "record")
	before := n.keeper.Version()
	applied, err := n.keeper.Apply(r)
	if err != nil || applied != (r.Version > before) {
		t.Fatalf("version %d over %d: applied %t, error %v", r.Version, before, applied, err)
	}
}

func (c *cluster) poll(t *rapid.T) { _ = c.pick(t, "node").keeper.Poll(context.Background()) }

func (c *cluster) learn(t *rapid.T) {
	n := c.pick(t, "node")
	for _, p := range n.Versions(context.Background()) {
		_ = n.keeper.Pull(context.Background(), p.Peer, p.Version)
	}
}

func (c *cluster) restart(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.restart()
	n.join(t)
}

// join checks that a ready node holds the highest version that the store, or
// with the store down a reachable peer, has named.
func (n *node) join(t *rapid.T) {
	var highest config.Version
	answers := n.Versions(context.Background())
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	reached := len(answers) > 0
	if !n.cut && !n.store.Table.Fault().Down {
		reached, highest = true, config.Version(len(n.storeRows(t)))
	}
	err := n.keeper.Join(context.Background())
	if ready := n.keeper.Ready(); ready != reached || ready != (err == nil) {
		t.Fatalf("ready %t without an answer, or not ready with one: %v", ready, err)
	}
	if n.keeper.Ready() && n.keeper.Version() != highest {
		t.Fatalf("ready with version %d, but %d was named", n.keeper.Version(), highest)
	}
}

func (c *cluster) cutOff(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.cut = seldom(t)
}

func (c *cluster) freeze(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.frozen = seldom(t)
}

// converge ends all faults and checks that every node then has the newest
// version in force.
func (c *cluster) converge(t *rapid.T) {
	c.store.Table.SetFault(store.Fault{Writes: unlimited, Reads: unlimited})
	for _, r := range c.late {
		_, _ = c.serve(r)
	}
	for _, n := range c.nodes {
		n.cut, n.frozen = false, false
		if err := n.keeper.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	c.check(t)
	for i, n := range c.nodes {
		if int(n.keeper.Version()) != len(c.rows) {
			t.Fatalf("node %d has version %d of %d", i, n.keeper.Version(), len(c.rows))
		}
	}
}
