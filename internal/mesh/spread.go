package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
)

const (
	// spreadCopies is the number of relays of a region that pass an entry on: one of them
	// may be lost right after it has accepted the entry.
	spreadCopies = 2
	// spreadAttempts is how often relays of a region are asked, updateRetry apart, before
	// all its nodes are notified directly.
	spreadAttempts = 3
)

// relaysOf returns the relays of another region in random order; nil if there are none
// because the nodes are few.
func (d *directory) relaysOf(region string) []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	relays := d.roster.RelaysOf(region, func(e roster.Entry) bool {
		l := d.loads[e.Node]
		return l == nil || !l.reach.Unreachable()
	})
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	return relays
}

func (d *directory) marks(region string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Marks(region)
}

func (d *directory) lacking(region string, marks []byte) []roster.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Lacking(region, marks)
}

// spread sends the newest entry to relays of another region, which pass it on, and gets
// the entries of that region that this node lacks. A few relays instead of all nodes keep
// the traffic between regions from growing with the square of the nodes.
func (a *announcer) spread(ctx context.Context, region string) {
	own := a.entry()
	accepted := 0
	for _, to := range a.directory.relaysOf(region) {
		if accepted == spreadCopies || ctx.Err() != nil {
			break
		}
		if a.spreadTo(ctx, to, own) {
			accepted++
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case accepted > 0 && own.Change == a.own.Change:
		delete(a.spreading, region)
	case accepted == 0:
		if a.spreading[region]--; a.spreading[region] <= 0 {
			delete(a.spreading, region)
			a.addPending(func(e roster.Entry) bool { return e.Region == region })
		}
	}
}

// spreadTo reports whether a relay passes the entry on.
func (a *announcer) spreadTo(ctx context.Context, to, own roster.Entry) bool {
	head, err := encode(message{Update: &nodeUpdate{
		Entry: own, Version: a.follower.version(), PassOn: true, Marks: a.directory.marks(to.Region),
	}})
	if err != nil {
		return false
	}
	reply, err := a.request(ctx, to, head)
	if err != nil {
		if ctx.Err() == nil {
			a.directory.markUnreachable(to.Node, err, time.Now())
		}
		return false
	}
	a.receiveEntries(reply.Entries)
	if reply.Update != nil {
		a.receive(ctx, *reply.Update)
		if reply.Update.LaterStart >= own.Start {
			a.advanceStart(ctx, reply.Update.LaterStart)
		}
	}
	return reply.PassedOn
}

// receiveEntries merges the entries that a relay has sent.
func (a *announcer) receiveEntries(list []roster.Entry) {
	for _, e := range a.directory.merge(list, time.Now()) {
		a.logEntry(e, "relay told of node")
	}
}
