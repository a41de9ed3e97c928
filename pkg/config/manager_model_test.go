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

// Guards against an accepted version that changes again, two accepted changes for
// one version, and a change that is applied twice, under store outages, lost
// replies, late writes, partitions, restarts and paused nodes (F2, F3, F4, F5, F8).
func TestAcceptedVersionsNeverRevert(t *testing.T) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(3)
		for _, n := range c.nodes {
			n.join(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": c.check, "submit": c.submit, "resend": c.resend, "race": c.race,
			"outage": c.outage, "lose": c.loseReplies, "delay": c.delayNextWrite, "deliver": c.deliverLateWrite,
			"send": c.sendRecord, "receive": c.receiveRecord, "poll": c.poll, "pull": c.pull,
			"restart": c.restart, "partition": c.partition, "pause": c.pause,
		})
		c.converge(t)
		for name, n := range c.store.Table.Counts().Faults {
			counts[name] += n
		}
		counts["accepted"] += len(c.versionIDs)
		counts["refused"] += len(c.rejected)
		counts["late"] += c.lateDelivered
	})
	t.Log(counts)
	for _, name := range []string{"down", "lost", "late", "accepted", "refused"} {
		assert.Assert(t, counts[name] > 0, "%s never happened", name)
	}
}

func (c *cluster) pick(t *rapid.T, label string) *node {
	n := rapid.SampledFrom(c.nodes).Draw(t, label)
	if n.paused {
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

// submitTo submits a change and records the result that its operator gets.
func (n *node) submitTo(t *rapid.T, change config.Change, first bool) {
	r, err := n.manager.Submit(context.Background(), change)
	switch {
	case err == nil:
		if r.ID != change.ID {
			t.Fatalf("change %s was reported as accepted with the record of %s", change.ID, r.ID)
		}
		n.accepted[change.ID] = r.Version
	case fault.Is(err, fault.KindWriteUnknown):
	case fault.Is(err, fault.KindConflict):
		n.rejected[change.ID] = true
	case first:
		// Only on the first submission does another error mean that nothing was
		// applied: an earlier write of the same change may still be in flight.
		n.rejected[change.ID] = true
	}
}

func (c *cluster) submit(t *rapid.T) {
	n := c.pick(t, "node")
	base := n.manager.Version()
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
	if change := rapid.SampledFrom(c.sent).Draw(t, "change"); !c.rejected[change.ID] {
		n.submitTo(t, change, false)
	}
}

// race submits a second change while the write of the first is in flight.
func (c *cluster) race(t *rapid.T) {
	a, b := c.pick(t, "first"), c.pick(t, "second")
	if a == b {
		t.Skip("one node")
	}
	first := c.change(t, a.manager.Version())
	second := c.change(t, b.manager.Version())
	if rapid.Bool().Draw(t, "same") {
		second = first
	}
	a.onWrite = func() { b.submitTo(t, second, second.ID != first.ID) }
	a.submitTo(t, first, second.ID != first.ID)
	a.onWrite = nil
}

// oneInFour is true for a quarter of the draws, so that faults are rarer than
// normal operation.
func oneInFour(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "oneInFour") == 0 }

func (c *cluster) outage(t *rapid.T) {
	f := c.store.Table.Fault()
	f.Down = oneInFour(t)
	c.store.Table.SetFault(f)
}

func (c *cluster) loseReplies(t *rapid.T) {
	f := c.store.Table.Fault()
	f.Lose = rapid.IntRange(1, 4).Draw(t, "replies")
	c.store.Table.SetFault(f)
}

func (c *cluster) delayNextWrite(t *rapid.T) { c.pick(t, "node").delayWrite = true }

func (c *cluster) deliverLateWrite(t *rapid.T) {
	if len(c.lateWrites) == 0 {
		t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(c.lateWrites)-1).Draw(t, "write")
	_, _ = c.serve(c.lateWrites[i])
	c.lateDelivered++
	c.lateWrites = append(c.lateWrites[:i], c.lateWrites[i+1:]...)
}

func (c *cluster) sendRecord(t *rapid.T) {
	if n := c.pick(t, "from"); n.manager.Version() > 0 {
		c.inFlight = append(c.inFlight, n.manager.Current().Record)
	}
}

// receiveRecord delivers a record that may be outdated or delivered before.
func (c *cluster) receiveRecord(t *rapid.T) {
	n := c.pick(t, "to")
	if len(c.inFlight) == 0 {
		t.Skip("no record in flight")
	}
	r := rapid.SampledFrom(c.inFlight).Draw(t, "record")
	before := n.manager.Version()
	applied, err := n.manager.Apply(r)
	if err != nil || applied != (r.Version > before) {
		t.Fatalf("version %d over %d: applied %t, error %v", r.Version, before, applied, err)
	}
}

func (c *cluster) poll(t *rapid.T) { _ = c.pick(t, "node").manager.Poll(context.Background()) }

func (c *cluster) pull(t *rapid.T) {
	n := c.pick(t, "node")
	for _, p := range n.Versions(context.Background()) {
		_ = n.manager.Pull(context.Background(), p.Peer, p.Version)
	}
}

func (c *cluster) restart(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.restart()
	n.join(t)
}

// join checks that a ready node has the highest version of the store or, while
// the store is down, of the reachable peers.
func (n *node) join(t *rapid.T) {
	var highest config.Version
	answers := n.Versions(context.Background())
	for _, a := range answers {
		highest = max(highest, a.Version)
	}
	reached := len(answers) > 0
	if !n.partitioned && !n.store.Table.Fault().Down {
		reached, highest = true, config.Version(len(n.storeRows(t)))
	}
	err := n.manager.Join(context.Background())
	if ready := n.manager.Ready(); ready != reached || ready != (err == nil) {
		t.Fatalf("ready is %t, which does not match the replies or the error: %v", ready, err)
	}
	if n.manager.Ready() && n.manager.Version() != highest {
		t.Fatalf("ready with version %d, but %d was reported", n.manager.Version(), highest)
	}
}

func (c *cluster) partition(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.partitioned = oneInFour(t)
}

func (c *cluster) pause(t *rapid.T) {
	n := rapid.SampledFrom(c.nodes).Draw(t, "node")
	n.paused = oneInFour(t)
}

// converge ends all faults and checks that every node then reaches the newest
// version.
func (c *cluster) converge(t *rapid.T) {
	c.store.Table.SetFault(store.Fault{Writes: unlimited, Reads: unlimited})
	for _, r := range c.lateWrites {
		_, _ = c.serve(r)
	}
	for _, n := range c.nodes {
		n.partitioned, n.paused = false, false
		if err := n.manager.Poll(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	c.check(t)
	for i, n := range c.nodes {
		if int(n.manager.Version()) != len(c.versionIDs) {
			t.Fatalf("node %d has version %d of %d", i, n.manager.Version(), len(c.versionIDs))
		}
	}
}
