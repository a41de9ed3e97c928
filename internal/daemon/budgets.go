package daemon

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/member"
)

const (
	// shareInterval is the time between two counts of the nodes that share a
	// budget.
	shareInterval = time.Second
	// populationHold is how long a lower count of nodes is not believed: a node
	// that is taken for dead by mistake returns within a minute.
	populationHold = time.Minute
)

// roster lists the members of the system.
type roster interface{ Members() []member.Member }

// budgets keeps the measuring budgets in force: those of each node, and this
// node's part of those that all nodes share. Nodes agree on the parts without
// messages, because each divides the total by the nodes of both regions.
type budgets struct {
	common
	limits  *budget.Limiter
	members roster
	// version is the configuration in force; set is false until the first.
	version config.Version
	set     bool
	shared  time.Time
	nodes   population
	// answered counts the load reports given for the server beside this node.
	// Its budget holds for the sum of all nodes, since all of them ask here.
	answered budget.Limiter
}

func (b *budgets) tick(now time.Time, current *config.Snapshot) {
	b.answered.Tick(now)
	changed := !b.set || b.version != current.Version
	if changed {
		b.configure(current)
	}
	if changed || now.Sub(b.shared) >= shareInterval {
		b.shared = now
		b.nodes.count(b.members.Members(), now)
		b.share(current.Document)
	}
}

// configure applies the budgets of the settings, and those of the configuration
// where it names them.
func (b *budgets) configure(current *config.Snapshot) {
	b.set, b.version = true, current.Version
	server := *b.ServerBudget
	if named := current.Document.Budgets.Server; named != nil {
		server = rateOf(*named)
	}
	b.limits.SetServers(server)
	b.limits.SetLinks(b.link(current.Document))
	b.answered.SetServers(rateOf(current.Document.ServerTotal()))
}

// link returns this node's budget for a link that the configuration does not
// name.
func (b *budgets) link(d config.Document) budget.Rate {
	if d.Budgets.Link != nil {
		return rateOf(*d.Budgets.Link)
	}
	return *b.LinkBudget
}

// share sets the links that the configuration names, and this node's part of
// those with a total.
func (b *budgets) share(d config.Document) {
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
				own = b.link(d)
			}
			rates[key] = own.Min(rateOf(total).Split(b.nodes.sharing(from, to)))
		}
	}
	b.limits.Override(rates)
}

// admit reports whether a load report for the server beside this node is
// within the budget that all nodes share.
func (b *budgets) admit(now time.Time) bool {
	return b.answered.Allow(budget.Control, probeBytes, now, budget.Server(b.ID))
}

func rateOf(b config.Budget) budget.Rate {
	return budget.Rate{Messages: int64(b.Messages), Bytes: int64(b.Bytes)}
}

// population counts the nodes of each region. The zero value has none.
type population struct {
	regions map[string]headcount
}

// headcount is the largest number of nodes counted in populationHold.
type headcount struct {
	nodes int
	// seen is when that many were last counted.
	seen time.Time
}

func (p *population) count(members []member.Member, now time.Time) {
	if p.regions == nil {
		p.regions = make(map[string]headcount)
	}
	counted := make(map[string]int)
	for _, m := range members {
		counted[m.Region]++
	}
	for region, held := range p.regions {
		if now.Sub(held.seen) > populationHold {
			p.regions[region] = headcount{counted[region], now}
		}
	}
	for region, n := range counted {
		if n >= p.regions[region].nodes {
			p.regions[region] = headcount{n, now}
		}
	}
}

// sharing returns by how many nodes the budget of a link is divided: those of
// both regions, as either end of a message may pay for it, and a tenth more for
// nodes that have joined and are not known here yet.
func (p *population) sharing(from, to string) int {
	n := p.regions[from].nodes + p.regions[to].nodes
	return n + (n+9)/10
}

// nodeBudget limits what the node itself sends for measuring. Membership and
// answers to probes are sent in any case, and the own probes make room.
type nodeBudget struct{ limits budget.Limiter }

var ownKey = budget.Server("")

func (b *nodeBudget) count(bytes int, now time.Time) {
	b.limits.Count(budget.Control, bytes, now, ownKey)
}

// allows spends the bytes of a probe. The class leaves 15 % for membership and
// answers, which do not ask.
func (b *nodeBudget) allows(bytes int, now time.Time) bool {
	return b.limits.Allow(budget.AntiEntropy, bytes, now, ownKey)
}
