package mesh

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// compareInterval is how often the entries of another region are compared with those
	// of one of its relays.
	compareInterval = 10 * time.Second
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

// otherRegions returns the names of the other regions.
func (d *directory) otherRegions() (names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.roster.Each(func(e roster.Entry) {
		if e.Region != d.Region && !slices.Contains(names, e.Region) {
			names = append(names, e.Region)
		}
	})
	return names
}

func (d *directory) marks(region string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Marks(region)
}

// compare returns the entries of this region that are not among the marks of another node,
// and those of the marks that are of none of these entries.
func (d *directory) compare(marks []byte) (lacking []roster.Entry, unknown []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Compare(d.Region, marks)
}

// marked returns the reachable nodes of a region whose entries have one of the marks.
func (d *directory) marked(region string, marks []byte) (found []roster.Entry) {
	if len(marks) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.roster.Marked(region, marks) {
		if l := d.loads[e.Node]; l == nil || !l.reach.Unreachable() {
			found = append(found, e)
		}
	}
	return found
}

// mergeRelayed merges entries that another node has passed on. A node that was forgotten
// gets no requests until it has answered a probe.
func (d *directory) mergeRelayed(list []roster.Entry, now time.Time) []roster.Entry {
	changed := d.merge(list, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changed {
		if start, ok := d.forgotten[e.Node]; ok && start == e.Start {
			d.exclude(e.Node, now)
		}
		delete(d.forgotten, e.Node)
	}
	return changed
}

// spreadState is the state of an entry for one region. It is used under announcer.mu.
type spreadState struct {
	// attempts is how often relays are still asked.
	attempts int
	// running is set while relays are asked.
	running bool
}

// spreadLater sets that a region is to be told. The caller holds a.mu.
func (a *announcer) spreadLater(region string) {
	if a.spreading[region] == nil {
		a.spreading[region] = &spreadState{}
	}
	a.spreading[region].attempts = spreadAttempts
}

// spread sends the newest entry to relays of another region, which pass it on, and gets
// the entries of that region that this node lacks. A few relays instead of all nodes keep
// the traffic between regions from growing with the square of the nodes.
func (a *announcer) spread(ctx context.Context, region string) {
	own := a.entry()
	relays := a.directory.relaysOf(region)
	wanted := min(spreadCopies, len(relays))
	accepted := 0
	for accepted < wanted && len(relays) > 0 && ctx.Err() == nil {
		n := min(wanted-accepted, len(relays))
		accepted += a.spreadToAll(ctx, relays[:n], own)
		relays = relays[n:]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.spreading[region]
	if state == nil {
		return
	}
	state.running = false
	switch {
	case own.Change != a.own.Change: // told again with the newer entry
	case wanted > 0 && accepted == wanted:
		delete(a.spreading, region)
	default:
		if state.attempts--; state.attempts > 0 {
			return
		}
		delete(a.spreading, region)
		if accepted == 0 {
			a.addPending(func(e roster.Entry) bool { return e.Region == region })
		}
	}
}

// spreadToAll asks relays at the same time and returns how many pass the entry on.
func (a *announcer) spreadToAll(ctx context.Context, relays []roster.Entry, own roster.Entry) int {
	accepted := make(chan bool, len(relays))
	for _, to := range relays {
		go func() { accepted <- a.spreadTo(ctx, to, own, true) }()
	}
	n := 0
	for range relays {
		if <-accepted {
			n++
		}
	}
	return n
}

// spreadTo compares the entries of a region with one of its relays, and reports whether
// the relay passes the entry of this node on.
func (a *announcer) spreadTo(ctx context.Context, to, own roster.Entry, passOn bool) bool {
	head, err := encode(message{Update: &nodeUpdate{
		Entry: own, Version: a.follower.version(), PassOn: passOn, Marks: a.directory.marks(to.Region), Left: a.directory.leftOf(to.Node),
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
	a.witness(own)
	a.receiveEntries(reply.Entries)
	a.checkUnknown(ctx, to.Region, reply.Unknown)
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
	for _, e := range a.directory.mergeRelayed(list, time.Now()) {
		a.logEntry(e, "relay told of node")
	}
}

// checkUnknown exchanges entries with the nodes of a region that its relay does not know
// as this node does. Those that are gone for good become unreachable and are forgotten.
func (a *announcer) checkUnknown(ctx context.Context, region string, marks []byte) {
	for _, e := range a.directory.marked(region, marks) {
		go func() {
			reply, err := a.exchange(ctx, e, a.entry())
			switch {
			case err == nil && reply != nil:
				a.receive(ctx, *reply)
			case err != nil && ctx.Err() == nil:
				a.directory.markUnreachable(e.Node, err, time.Now())
			}
		}()
	}
}

// compareEntries compares the entries of a random other region with one of its relays, in
// case that this node has missed a change.
func (a *announcer) compareEntries(ctx context.Context) {
	regions := a.directory.otherRegions()
	if len(regions) == 0 {
		return
	}
	if relays := a.directory.relaysOf(regions[rand.IntN(len(regions))]); len(relays) > 0 {
		a.spreadTo(ctx, relays[0], a.entry(), false)
	}
}
