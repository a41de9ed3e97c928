package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// monitors is the number of members that watch each member. With three, a member
	// whose rack fails together with one of its monitors is still watched by two.
	monitors = 3
	// monitorWindow is how many positions before a member on the ring are searched
	// for monitors in other failure domains. With two domains of the same size, one
	// member in 4,096 has none there. It also limits how many members a node watches.
	monitorWindow = 12
)

// selectMembers selects the members of which this node is a monitor. A silent member
// does not count as a monitor. Members that follow several dead ones on the ring
// would otherwise get a live monitor only after these are declared dead one by one.
func (r *rounds) selectMembers(self *Member, near []*Member, clock time.Duration, random *rand.Rand) {
	old := r.list
	r.list = nil
	between, phase := make([]*Member, 0, monitorWindow), probeEvery
	for i, m := range near {
		if len(between) == monitorWindow || len(r.list) == maxWatched {
			return
		}
		// Random phases keep the monitors of a member from pinging it at the
		// same moment.
		next := &round{id: m.ID, next: clock + randomDuration(random, phase)}
		if i := slices.IndexFunc(old, func(o *round) bool { return o.id == m.ID }); i >= 0 {
			next = old[i]
		}
		if isMonitor(m, between, self, near[i+1:]) {
			r.list = append(r.list, next)
		}
		if next.silent(clock) {
			phase = Interval
		} else {
			between = append(between, m)
		}
	}
}

// isMonitor reports whether self is a monitor of m. The monitors are the nearest
// member before m on the ring, then the nearest ones in other failure domains. If
// all monitors of a member could be in its own domain, the failure of the domain
// would leave members without a monitor until the dead ones before them are silent.
// between holds the members from self to m, following those from m round to self.
func isMonitor(m *Member, between []*Member, self *Member, following []*Member) bool {
	before := make([]*Member, 0, monitorWindow)
	for _, b := range slices.Backward(between) {
		before = append(before, b)
	}
	selfIndex := len(before)
	before = append(before, self)
	for _, b := range slices.Backward(following) {
		if len(before) >= monitorWindow {
			break
		}
		before = append(before, b)
	}
	if selfIndex == 0 {
		return true
	}
	picked, skipped := 1, 0
	for i, b := range before[1:] {
		other := b.Domain != m.Domain
		if i+1 == selfIndex {
			if other {
				return picked < monitors
			}
			skipped = i + 1 - picked
		}
		if other && picked < monitors {
			picked++
		}
	}
	// If there are too few monitors in other domains, the nearest members of the
	// same domain are monitors too.
	return self.Domain == m.Domain && skipped < monitors-picked
}
