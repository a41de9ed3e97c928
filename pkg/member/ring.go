package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// monitors is how many members watch each member. With three, a member
	// whose rack fails together with one monitor is still watched by two.
	monitors = 3
	// window is how many places before a member on the ring are searched for
	// monitors in other failure domains. With two domains of the same size, one
	// member in 4,096 finds none there; the window also bounds how many members
	// one node watches.
	window = 12
)

// follow watches the members of which this node is a monitor. A silent member
// does not count as a monitor: the members behind a row of dead ones must not
// wait for one verdict after the other.
func (r *rounds) follow(self *Member, near []*Member, clock time.Duration, random *rand.Rand) {
	old := r.list
	r.list = nil
	between, phase := make([]*Member, 0, window), probeEvery
	for i, m := range near {
		if len(between) == window || len(r.list) == maxWatched {
			return
		}
		// Random phases keep the monitors of a member from pinging it at the
		// same moment.
		next := &round{id: m.ID, next: clock + within(random, phase)}
		if i := slices.IndexFunc(old, func(o *round) bool { return o.id == m.ID }); i >= 0 {
			next = old[i]
		}
		if watches(m, between, self, near[i+1:]) {
			r.list = append(r.list, next)
		}
		if next.silent(clock) {
			phase = Interval
		} else {
			between = append(between, m)
		}
	}
}

// watches reports whether self is a monitor of m: the nearest member before m
// on the ring, then the nearest of other failure domains. If all monitors of a
// member could stand in its own domain, the loss of a domain would leave
// members that nobody watches until the dead before them are silent. between
// are the members from self to m, behind those that follow m.
func watches(m *Member, between []*Member, self *Member, behind []*Member) bool {
	before := make([]*Member, 0, window)
	for _, b := range slices.Backward(between) {
		before = append(before, b)
	}
	place := len(before)
	before = append(before, self)
	for _, b := range slices.Backward(behind) {
		if len(before) >= window {
			break
		}
		before = append(before, b)
	}
	if place == 0 {
		return true
	}
	picked, fill := 1, 0
	for i, b := range before[1:] {
		other := b.Domain != m.Domain
		if i+1 == place {
			if other {
				return picked < monitors
			}
			fill = i + 1 - picked
		}
		if other && picked < monitors {
			picked++
		}
	}
	// Members of the own domain take the places that the others leave, the
	// nearest first.
	return self.Domain == m.Domain && fill < monitors-picked
}
