package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// nearFanout and farFanout are the numbers of receivers of each datagram with
	// updates, in the local region and in the other regions.
	nearFanout = 3
	farFanout  = 1
	// quickSends is how many datagrams with an update are sent without delay. Later
	// ones only serve members that missed the first ones and are sent at intervals
	// of slowSendEvery.
	quickSends    = 3 * (nearFanout + farFanout)
	slowSendEvery = 200 * time.Millisecond
	// messageBytes is the size of a message's content without the header.
	messageBytes     = MaxPayload - 100
	fingerprintBytes = 8
)

// update is a change that is still being disseminated.
type update struct {
	member Member
	// full means that the whole record is sent, since receivers may not have it.
	full bool
	// sends counts the datagrams that carried the change.
	sends int
	next  time.Duration
	// shortFingerprint means that the dead member is sent as part of a DomainFailure.
	shortFingerprint bool
}

// size returns an upper bound of the update's bytes on the wire.
func (i *update) size() int {
	switch {
	case i.full:
		return recordSize(&i.member)
	case i.shortFingerprint:
		return shortBytes
	default:
		return fingerprintBytes
	}
}

func recordSize(m *Member) int {
	return len(m.ID) + len(m.Addr) + len(m.Service) + len(m.Region) + len(m.Domain) + 70
}

// updateQueue holds the changes to disseminate, at most one for each member.
type updateQueue struct {
	items map[string]*update
	// configSends is how many more messages have to carry a new configuration
	// version. Messages with updates count; empty ones are sent otherwise.
	configSends int
}

// add queues a record that the receivers may not have.
func (n *updateQueue) add(m Member) { n.put(m, true) }

// addDeath queues a dead member whose record the receivers have.
func (n *updateQueue) addDeath(m Member) {
	old := n.items[m.ID]
	n.put(m, old != nil && old.full)
}

func (n *updateQueue) put(m Member, full bool) {
	if n.items == nil {
		n.items = make(map[string]*update)
	}
	n.items[m.ID] = &update{member: m, full: full}
}

// due returns the updates to send now, those with the fewest sends first.
func (n *updateQueue) due(clock time.Duration) []*update {
	var due []*update
	for _, i := range n.items {
		if clock >= i.next {
			due = append(due, i)
		}
	}
	return sortBySends(due)
}

// sortBySends sorts updates by the number of sends, fewest first.
func sortBySends(items []*update) []*update {
	slices.SortFunc(items, func(a, b *update) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.member.ID, b.member.ID))
	})
	return items
}

// spread sends the updates that are due to random members.
func (p *Protocol) spread() {
	p.groupDeaths()
	due := p.updateQueue.due(p.clock)
	all := len(due)
	for len(due) > 0 && p.pacer.allows() {
		n, msg := p.pack(due)
		for l := range msg.DomainFailures {
			// The updates about one failure domain are due at the same time.
			msg.DomainFailures[l].Complete = n == all
		}
		sent := p.sendUpdates(msg)
		if sent == 0 {
			return
		}
		for _, i := range due[:n] {
			p.reschedule(i, sent)
		}
		due = due[n:]
	}
	if p.updateQueue.configSends > 0 && p.pacer.allows() {
		p.sendUpdates(p.header(KindUpdate))
	}
}

// pack fills one message and returns the number of updates in it.
func (p *Protocol) pack(due []*update) (int, Message) {
	msg := p.header(KindUpdate)
	size := 0
	for n, i := range due {
		size += i.size()
		if i.shortFingerprint && msg.domainFailure(&i.member) == nil {
			size += domainFailureSize(&i.member)
		}
		if n > 0 && size > messageBytes {
			return n, msg
		}
		if i.full {
			msg.Members = append(msg.Members, i.member)
		} else {
			msg.addDeath(i)
		}
	}
	return len(due), msg
}

// sendUpdates sends a message to random members and returns their number.
func (p *Protocol) sendUpdates(msg Message) int {
	p.updateQueue.configSends = max(p.updateQueue.configSends-nearFanout-farFanout, 0)
	targets := sample(p.Rand, p.peers.near, nearFanout, "")
	targets = append(targets, sample(p.Rand, p.peers.far, nearFanout+farFanout-len(targets), "")...)
	// The order is random, so that a node that runs out of its send budget does not
	// always skip the other regions.
	p.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for n, m := range targets {
		if n == domainFailureFanout && len(msg.DomainFailures) > 0 {
			return n
		}
		if n > 0 && !p.pacer.allows() {
			return n
		}
		p.send(m, ClassControl, msg)
	}
	return len(targets)
}

// sendRounds returns how often an update is sent in a cluster of the given size.
// With four receivers each time, the probability that a member misses it is below
// one in a million at 15 % packet loss.
func sendRounds(size int) int { return 2 + int(math.Ceil(math.Log(float64(size+2)))) }

// reschedule sets when an update is sent again, or removes it after enough sends.
func (p *Protocol) reschedule(i *update, sent int) {
	i.sends += sent
	i.next = p.clock
	if i.sends >= quickSends {
		i.next += slowSendEvery
	}
	if i.sends >= (nearFanout+farFanout)*sendRounds(len(p.peers.all)) {
		delete(p.updateQueue.items, i.member.ID)
	}
}
