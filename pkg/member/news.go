package member

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// nearFanout and farFanout are the receivers of each datagram with news in
	// the own region and in the others.
	nearFanout = 3
	farFanout  = 1
	// quickSends go out at every tick, the later ones more slowly: they only
	// reach those that lost the first ones.
	quickSends = 3 * (nearFanout + farFanout)
	slowNews   = 200 * time.Millisecond
	// newsBytes leaves room for the header in a datagram.
	newsBytes = MaxPayload - 100
	markBytes = 8
)

// item is a change that is still being spread.
type item struct {
	member Member
	// full means that receivers may not know the record yet.
	full bool
	// sends counts the datagrams that carried the change.
	sends int
	next  time.Duration
	// short means that the death is sent as part of a Loss.
	short bool
}

// size is an upper bound of the item's bytes on the wire.
func (i *item) size() int {
	switch {
	case i.full:
		return recordSize(&i.member)
	case i.short:
		return shortBytes
	default:
		return markBytes
	}
}

func recordSize(m *Member) int {
	return len(m.ID) + len(m.Addr) + len(m.Service) + len(m.Region) + len(m.Domain) + 70
}

// news is the queue of changes to spread, one for each member.
type news struct {
	items map[string]*item
	// hints is how many empty messages remain to be sent for a configuration
	// version; messages with changes count.
	hints int
}

// add queues a record that the receivers may not know.
func (n *news) add(m Member) { n.put(m, true) }

// addDeath queues the death of a member that the receivers know.
func (n *news) addDeath(m Member) {
	old := n.items[m.ID]
	n.put(m, old != nil && old.full)
}

func (n *news) put(m Member, full bool) {
	if n.items == nil {
		n.items = make(map[string]*item)
	}
	n.items[m.ID] = &item{member: m, full: full}
}

// due returns the items to send now, those that were sent least first.
func (n *news) due(clock time.Duration) []*item {
	var due []*item
	for _, i := range n.items {
		if clock >= i.next {
			due = append(due, i)
		}
	}
	return leastSent(due)
}

// leastSent sorts the items so that those come first that were sent least.
func leastSent(items []*item) []*item {
	slices.SortFunc(items, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.member.ID, b.member.ID))
	})
	return items
}

// spread sends the changes that are due to random members.
func (p *Protocol) spread() {
	p.shorten()
	due := p.news.due(p.clock)
	all := len(due)
	for len(due) > 0 && p.pacer.allows() {
		n, msg := p.pack(due)
		for l := range msg.DomainFailures {
			// The deaths of a lost domain are due together.
			msg.DomainFailures[l].Complete = n == all
		}
		sent := p.sendNews(msg)
		if sent == 0 {
			return
		}
		for _, i := range due[:n] {
			p.settleNews(i, sent)
		}
		due = due[n:]
	}
	if p.news.hints > 0 && p.pacer.allows() {
		p.sendNews(p.header(KindUpdate))
	}
}

// pack fills one message and returns how many items it holds.
func (p *Protocol) pack(due []*item) (int, Message) {
	msg := p.header(KindUpdate)
	size := 0
	for n, i := range due {
		size += i.size()
		if i.short && msg.lost(&i.member) == nil {
			size += lossSize(&i.member)
		}
		if n > 0 && size > newsBytes {
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

// sendNews sends a message to random members and returns how many.
func (p *Protocol) sendNews(msg Message) int {
	p.news.hints = max(p.news.hints-nearFanout-farFanout, 0)
	targets := random(p.Rand, p.peers.near, nearFanout, "")
	targets = append(targets, random(p.Rand, p.peers.far, nearFanout+farFanout-len(targets), "")...)
	// In random order, so that a node short of bytes does not always leave the
	// other regions out.
	p.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	for n, m := range targets {
		if n == lossFanout && len(msg.DomainFailures) > 0 {
			return n
		}
		if n > 0 && !p.pacer.allows() {
			return n
		}
		p.send(m, ClassControl, msg)
	}
	return len(targets)
}

// newsRounds is how often a change is sent in a cluster of the size. With four
// receivers each time, the chance that a member misses it is below one in a
// million at 15 % loss.
func newsRounds(size int) int { return 2 + int(math.Ceil(math.Log(float64(size+2)))) }

// settleNews decides whether and when an item is sent again.
func (p *Protocol) settleNews(i *item, sent int) {
	i.sends += sent
	i.next = p.clock
	if i.sends >= quickSends {
		i.next += slowNews
	}
	if i.sends >= (nearFanout+farFanout)*newsRounds(len(p.peers.all)) {
		delete(p.news.items, i.member.ID)
	}
}
