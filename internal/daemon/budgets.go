package daemon

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/member"
)

const (
	// nodeCountInterval is the time between two counts of the nodes that share a
	// budget.
	nodeCountInterval = time.Second
	// nodeCountHold is how long a lower count of nodes is ignored: a node that was
	// declared dead by mistake returns within a minute.
	nodeCountHold = time.Minute
)

// memberLister lists the members of the system.
type memberLister interface{ Members() []member.Member }

// budgets applies the measuring budgets: those of each node, and this node's part of
// those that all nodes share. Nodes agree on the parts without messages, because each
// node divides the total by the number of nodes in both regions.
type budgets struct {
	common
	// limits holds the budgets of servers and links that this node may use.
	limits  *budget.Limiter
	members memberLister
	// version is the version of the configuration in force; configured is false until
	// the first one.
	version    config.Version
	configured bool
	lastCount  time.Time
	nodeCounts regionCounts
	// loadReports limits the load reports on the server beside this node. Its budget
	// holds for all nodes together, because all of them request the reports here.
	loadReports budget.Limiter
}

func (b *budgets) tick(now time.Time, current *config.Snapshot) {
	b.loadReports.Tick(now)
	changed := !b.configured || b.version != current.Version
	if changed {
		b.configure(current)
	}
	if changed || now.Sub(b.lastCount) >= nodeCountInterval {
		b.lastCount = now
		b.nodeCounts.count(b.members.Members(), now)
		b.setLinks(current.Document)
	}
}

// configure applies the budgets of the configuration, or those of the settings where
// the configuration names none.
func (b *budgets) configure(current *config.Snapshot) {
	b.configured, b.version = true, current.Version
	server := *b.ServerBudget
	if named := current.Document.Budgets.Server; named != nil {
		server = rateOf(*named)
	}
	b.limits.SetServers(server)
	b.limits.SetLinks(b.defaultLink(current.Document))
	b.loadReports.SetServers(rateOf(current.Document.ServerTotal()))
}

// defaultLink returns this node's budget for a link that the configuration does not
// name.
func (b *budgets) defaultLink(d config.Document) budget.Rate {
	if d.Budgets.Link != nil {
		return rateOf(*d.Budgets.Link)
	}
	return *b.LinkBudget
}

// setLinks sets the budgets of the links that the configuration names; of a total it
// sets this node's part.
func (b *budgets) setLinks(d config.Document) {
	rates := make(map[budget.Key]budget.Rate)
	for from, row := range d.Budgets.Links {
		for to, own := range row {
			rates[budget.Link(from, to)] = rateOf(own)
		}
	}
	for from, row := range d.Budgets.Total.Links {
		for to, total := range row {
			key := budget.Link(from, to)
			own, named := rates[key]
			if !named {
				own = b.defaultLink(d)
			}
			rates[key] = own.Min(rateOf(total).Split(b.nodeCounts.sharers(from, to)))
		}
	}
	b.limits.Override(rates)
}

// admitLoadReport reports whether a load report on the server beside this node is
// within the budget that all nodes share.
func (b *budgets) admitLoadReport(now time.Time) bool {
	return b.loadReports.Allow(budget.Control, probeBytes, now, budget.Server(b.ID))
}

func rateOf(b config.Budget) budget.Rate {
	return budget.Rate{Messages: int64(b.Messages), Bytes: int64(b.Bytes)}
}

// regionCounts counts the nodes of each region. The zero value has none.
type regionCounts struct {
	regions map[string]regionCount
}

// regionCount is the largest number of nodes of a region within nodeCountHold.
type regionCount struct {
	nodes int
	// countedAt is when this number was last counted.
	countedAt time.Time
}

func (c *regionCounts) count(members []member.Member, now time.Time) {
	if c.regions == nil {
		c.regions = make(map[string]regionCount)
	}
	counted := make(map[string]int)
	for _, m := range members {
		counted[m.Region]++
	}
	for region, previous := range c.regions {
		if now.Sub(previous.countedAt) > nodeCountHold {
			c.regions[region] = regionCount{counted[region], now}
		}
	}
	for region, n := range counted {
		if n >= c.regions[region].nodes {
			c.regions[region] = regionCount{n, now}
		}
	}
}

// sharers returns the number of nodes by which the budget of a link is divided: those
// of both regions, because either end of a message may be charged for it, and a tenth
// more for nodes that have joined and are not known here yet.
func (c *regionCounts) sharers(from, to string) int {
	n := c.regions[from].nodes + c.regions[to].nodes
	return n + (n+9)/10
}

// nodeBudget limits what the node itself sends for measuring, to all nodes together.
// Membership messages and answers to probes are counted but always sent; the node's own
// probes get what remains.
type nodeBudget struct{ limits budget.Limiter }

var nodeKey = budget.Server("")

func (b *nodeBudget) count(bytes int, now time.Time) {
	b.limits.Count(budget.Control, bytes, now, nodeKey)
}

// allows takes the bytes of a probe from the budget. The class leaves 15 % for
// membership and answers, which are sent without a check.
func (b *nodeBudget) allows(bytes int, now time.Time) bool {
	return b.limits.Allow(budget.AntiEntropy, bytes, now, nodeKey)
}
