package member

import (
	"slices"
	"time"
)

// One node alone cannot tell a dead member of another region from a cut link.
// Death is therefore concluded only inside a region; the other regions are
// watched as a whole.
const (
	crossEvery = time.Second
	crossRetry = 200 * time.Millisecond
	// cutAfter is the silence of a whole region towards all of the own region
	// after which its members are unreachable.
	cutAfter = 2 * time.Second
	// rejoinSpread is the time over which the members of a region compare
	// their tables with a region that came back, so that they do not do it at
	// once.
	rejoinSpread = 5 * time.Second
	reviveEvery  = 5 * time.Second
)

// distant is what is known about another region.
type distant struct {
	name string
	// heard is when anybody in the own region last heard from the region.
	heard time.Duration
	cut   bool
	// next is when the next ping is sent.
	next time.Duration
	// target and nonce belong to the last ping.
	target string
	nonce  uint32
	// compare is when to compare tables after the region came back, or zero.
	compare time.Duration
}

// cross watches the other regions.
type cross struct {
	regions []*distant
	// revive is when a member that was declared dead is pinged next, in case
	// it was only cut off.
	revive time.Duration
}

func (c *cross) find(region string) *distant {
	for _, d := range c.regions {
		if d.name == region {
			return d
		}
	}
	return nil
}

// follow keeps one record for each region with members.
func (c *cross) follow(names []string, clock time.Duration) {
	c.regions = slices.DeleteFunc(c.regions, func(d *distant) bool { return !slices.Contains(names, d.name) })
	for _, name := range names {
		if c.find(name) == nil {
			c.regions = append(c.regions, &distant{name: name, heard: clock, next: clock})
		}
	}
}

func (c *cross) forgotten(region string, clock time.Duration) bool {
	d := c.find(region)
	return d != nil && d.cut && clock-d.heard > forgetAfter
}

// acked notes an answer from another region.
func (c *cross) acked(id string, nonce uint32, clock time.Duration) bool {
	for _, d := range c.regions {
		if d.target == id && d.nonce != 0 && d.nonce == nonce {
			d.nonce, d.heard, d.next = 0, clock, clock+crossEvery
			return true
		}
	}
	return false
}

// ages returns how long ago each region was heard.
func (c *cross) ages(clock time.Duration) []LastContact {
	var ages []LastContact
	for _, d := range c.regions {
		ages = append(ages, LastContact{d.name, milliseconds(clock - d.heard)})
	}
	return ages
}

// learn takes over what another member of the own region heard.
func (c *cross) learn(ages []LastContact, clock time.Duration) {
	for _, a := range ages {
		if d := c.find(a.Region); d != nil {
			d.heard = max(d.heard, clock-time.Duration(a.Millis)*time.Millisecond)
		}
	}
}

// watchRegions pings one member of each other region and decides which regions
// are cut off.
func (p *Protocol) watchRegions() {
	for _, d := range p.cross.regions {
		if cut := p.clock-d.heard > cutAfter; cut != d.cut {
			d.cut = cut
			p.table.setCut(d.name, cut)
			if !cut {
				d.compare = p.clock + 1 + within(p.Rand, rejoinSpread)
			}
		}
		if d.compare != 0 && p.clock >= d.compare && !d.cut {
			d.compare = 0
			p.compareWith(p.peers.regions[d.name])
		}
		if p.clock >= d.next {
			p.pingRegion(d)
		}
	}
	p.pingDead()
}

func (p *Protocol) pingRegion(d *distant) {
	d.next = p.clock + crossRetry
	if d.cut {
		d.next = p.clock + crossEvery
	}
	for _, m := range random(p.Rand, p.peers.regions[d.name], 1, "") {
		d.target, d.nonce = m.ID, p.nonce()
		p.ping(m, d.nonce, "")
	}
}

// pingDead finds members that were declared dead because they were cut off
// inside the region. They refute when the verdict reaches them.
func (p *Protocol) pingDead() {
	if p.clock < p.cross.revive {
		return
	}
	p.cross.revive = p.clock + reviveEvery
	for _, m := range random(p.Rand, p.peers.dead, 1, "") {
		p.ping(m, p.nonce(), "")
	}
}
