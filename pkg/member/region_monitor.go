package member

import (
	"slices"
	"time"
)

// A node cannot distinguish a dead member of another region from a failed link.
// Members are therefore declared dead only by members of the same region; other
// regions are monitored as a whole.
const (
	regionPingEvery = time.Second
	regionPingRetry = 200 * time.Millisecond
	// unreachableAfter is how long no member of the local region may receive an
	// acknowledgement from another region before its members are unreachable.
	unreachableAfter = 2 * time.Second
	// rejoinSpread is the period over which the members of a region compare their
	// tables with a region that is reachable again, so that they do not all do it at
	// once.
	rejoinSpread  = 5 * time.Second
	deadPingEvery = 5 * time.Second
)

// remoteRegion is the state of another region.
type remoteRegion struct {
	name string
	// lastContact is when any member of the local region last received an
	// acknowledgement from the region.
	lastContact time.Duration
	unreachable bool
	// next is when the next ping is sent.
	next time.Duration
	// target and nonce belong to the last ping.
	target string
	nonce  uint32
	// compare is when to compare tables after the region became reachable again, or
	// zero.
	compare time.Duration
}

// regionMonitor monitors the other regions.
type regionMonitor struct {
	regions []*remoteRegion
	// nextDeadPing is when a member that was declared dead is pinged next, in case it
	// was only partitioned.
	nextDeadPing time.Duration
}

func (c *regionMonitor) find(region string) *remoteRegion {
	for _, d := range c.regions {
		if d.name == region {
			return d
		}
	}
	return nil
}

// setRegions adds regions that are new and removes those without members.
func (c *regionMonitor) setRegions(names []string, clock time.Duration) {
	c.regions = slices.DeleteFunc(c.regions, func(d *remoteRegion) bool { return !slices.Contains(names, d.name) })
	for _, name := range names {
		if c.find(name) == nil {
			c.regions = append(c.regions, &remoteRegion{name: name, lastContact: clock, next: clock})
		}
	}
}

func (c *regionMonitor) expired(region string, clock time.Duration) bool {
	d := c.find(region)
	return d != nil && d.unreachable && clock-d.lastContact > removeAfter
}

// acked records an acknowledgement from another region and reports whether the
// nonce matched a ping.
func (c *regionMonitor) acked(id string, nonce uint32, clock time.Duration) bool {
	for _, d := range c.regions {
		if d.target == id && d.nonce != 0 && d.nonce == nonce {
			d.nonce, d.lastContact, d.next = 0, clock, clock+regionPingEvery
			return true
		}
	}
	return false
}

// lastContacts returns how long ago each region last acknowledged a ping.
func (c *regionMonitor) lastContacts(clock time.Duration) []LastContact {
	var lastContacts []LastContact
	for _, d := range c.regions {
		lastContacts = append(lastContacts, LastContact{d.name, milliseconds(clock - d.lastContact)})
	}
	return lastContacts
}

// mergeContacts merges the last contacts of another member of the local region.
func (c *regionMonitor) mergeContacts(contacts []LastContact, clock time.Duration) {
	for _, a := range contacts {
		if d := c.find(a.Region); d != nil {
			d.lastContact = max(d.lastContact, clock-time.Duration(a.Millis)*time.Millisecond)
		}
	}
}

// watchRegions pings one member of each other region when it is due and decides
// which regions are unreachable.
func (p *Protocol) watchRegions() {
	for _, d := range p.regionMonitor.regions {
		if unreachable := p.clock-d.lastContact > unreachableAfter; unreachable != d.unreachable {
			d.unreachable = unreachable
			p.table.setUnreachable(d.name, unreachable)
			if !unreachable {
				d.compare = p.clock + 1 + randomDuration(p.Rand, rejoinSpread)
			}
		}
		if d.compare != 0 && p.clock >= d.compare && !d.unreachable {
			d.compare = 0
			p.compareWith(p.peers.regions[d.name])
		}
		if p.clock >= d.next {
			p.pingRegion(d)
		}
	}
	p.pingDead()
}

func (p *Protocol) pingRegion(d *remoteRegion) {
	d.next = p.clock + regionPingRetry
	if d.unreachable {
		d.next = p.clock + regionPingEvery
	}
	for _, m := range sample(p.Rand, p.peers.regions[d.name], 1, "") {
		d.target, d.nonce = m.ID, p.nonce()
		p.ping(m, d.nonce, "")
	}
}

// pingDead pings members that were declared dead, in case they were only partitioned
// from the rest of the region. The ping carries their state, which they refute.
func (p *Protocol) pingDead() {
	if p.clock < p.regionMonitor.nextDeadPing {
		return
	}
	p.regionMonitor.nextDeadPing = p.clock + deadPingEvery
	for _, m := range sample(p.Rand, p.peers.dead, 1, "") {
		p.ping(m, p.nonce(), "")
	}
}
