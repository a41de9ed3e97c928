package daemon

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/gossip"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// membership connects the membership protocol to the routing table and to the member
// rows in the table service.
type membership struct {
	common
	protocol  member.Protocol
	gossip    gossip.Node
	announcer gossip.Announcer
	sweeper   gossip.Sweeper
	routes    *routing.Table
	// ownBudget counts the membership traffic that this node sends.
	ownBudget *nodeBudget
	// lastTick is when the protocol was last ticked.
	lastTick time.Time
}

func (m *membership) start(ctx context.Context, transport gossip.Conn, addr string, limits *budget.Limiter) error {
	sealer, err := gossip.NewSealer([]byte(m.Secret))
	if err != nil {
		return err
	}
	m.protocol.Self = member.Member{
		Ref:    member.Ref{ID: m.ID, Incarnation: member.NextIncarnation(0, time.Now())},
		Addr:   addr,
		Region: m.Region,
		Domain: m.Domain,
	}
	m.protocol.Seeds = m.Seeds
	m.gossip.Conn, m.gossip.Protocol, m.gossip.Sealer = transport, &m.protocol, sealer
	m.gossip.Budget, m.gossip.Observer = gossipBudget{limits, m.ownBudget}, m
	m.announcer.Node = &m.gossip
	m.announcer.Rows = &memberRows{Client: m.tableClient(), rowKey: gossip.RowPrefix + m.ID}
	m.sweeper.Rows, m.sweeper.Node = m.tableClient(), &m.gossip
	m.gossip.Start(ctx)
	return nil
}

// refresh refreshes this node's member row and removes the rows of members that are
// gone.
func (m *membership) refresh(ctx context.Context, now time.Time) {
	log := m.Log.WithField("node", m.ID)
	if err := m.announcer.Refresh(ctx, now); err != nil {
		log.WithError(err).Debug("cannot refresh the member row")
	}
	removed, err := m.sweeper.Sweep(ctx, now)
	if err != nil {
		log.WithError(err).Debug("cannot remove old member rows")
	}
	for _, key := range removed {
		log.WithField("row", key).Info("old member row removed")
	}
}

// tick runs the protocol at member.Interval, which is longer than tickInterval.
func (m *membership) tick(now time.Time) {
	if now.Sub(m.lastTick) >= member.Interval {
		m.lastTick = now
		m.gossip.Tick(now)
	}
}

// announce announces the state of the backend server beside this node if it changed.
func (m *membership) announce(now time.Time, server announcement, stopping bool) {
	state := member.StateAlive
	switch {
	case stopping:
		state = member.StateLeaving
	case server.State == stateDraining:
		state = member.StateDraining
	}
	own := m.protocol.Local()
	if own.Service == server.Service && own.Slots == server.Slots && own.Announced == state {
		return
	}
	m.gossip.Update(now, func(self member.Member) member.Member {
		return self.WithService(server.Service).WithSlots(server.Slots).WithState(state)
	})
	m.updateRoute(own.WithService(server.Service).WithSlots(server.Slots).WithState(state), own.Service, now)
}

// MembersChanged implements gossip.Observer.
func (m *membership) MembersChanged(events []member.Event) {
	now := time.Now()
	for _, e := range events {
		if e.Kind != member.EventChanged {
			m.Log.WithField("node", m.ID).WithField("member", e.Member.Ref.String()).
				WithField("service", e.Member.Service).WithField("change", e.Kind.String()).Info("member " + e.Kind.String())
		}
		if e.Kind == member.EventRemoved {
			m.removeRoutes(e.Member.ID)
			continue
		}
		m.updateRoute(e.Member, "", now)
	}
}

// allOthersLeaving reports whether all other known members are leaving. Unreachable
// members count as running, because they may be.
func (m *membership) allOthersLeaving() bool {
	for _, other := range m.protocol.Table().Members() {
		if other.ID != m.ID && other.Announced != member.StateLeaving {
			return false
		}
	}
	return true
}

// updateRoute copies one member, which may be this node, into the routing table.
// previousService is the service that the member served until now, or empty if it is
// not known.
func (m *membership) updateRoute(changed member.Member, previousService string, now time.Time) {
	if previousService != "" && previousService != changed.Service {
		m.routes.Remove(previousService, changed.ID)
	}
	if changed.Service == "" {
		m.removeRoutes(changed.ID)
		return
	}
	m.routes.Upsert(routing.Server{
		ID: changed.ID, Service: changed.Service, Region: changed.Region, Domain: changed.Domain, Slots: changed.Slots,
	}, now)
	m.routes.SetDraining(changed.Service, changed.ID, !changed.Accepts())
}

// removeRoutes removes the server beside a node from the routes of all services.
func (m *membership) removeRoutes(id string) {
	for _, service := range m.routes.Services() {
		m.routes.Remove(service, id)
	}
}

func (m *membership) peer(id string) (node.Peer, bool) {
	other, ok := m.protocol.Table().Get(id)
	return peerOf(other), ok
}

func peerOf(m member.Member) node.Peer {
	return node.Peer{ID: m.ID, Addr: m.Addr, Incarnation: m.Incarnation}
}

// gossipBudget applies the measuring budget of the link to membership traffic, and
// counts the traffic in the budget of the node.
type gossipBudget struct {
	limits    *budget.Limiter
	ownBudget *nodeBudget
}

// Allow implements gossip.Budget.
func (b gossipBudget) Allow(link gossip.Link, class member.Class, bytes int, now time.Time) bool {
	budgetClass := budget.Control
	if class == member.ClassAntiEntropy {
		budgetClass = budget.AntiEntropy
	}
	if !b.limits.Allow(budgetClass, bytes, now, budget.Link(link.From, link.To)) {
		return false
	}
	b.ownBudget.count(bytes, now)
	return true
}
