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

// membership connects the membership protocol to the routing table.
type membership struct {
	common
	protocol  member.Protocol
	gossip    gossip.Node
	announcer gossip.Announcer
	sweeper   gossip.Sweeper
	routes    *routing.Table
	spent     *nodeBudget
	// ticked is when the protocol was last ticked.
	ticked time.Time
}

func (m *membership) start(ctx context.Context, conn gossip.Conn, addr string, limits *budget.Limiter) error {
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
	m.gossip.Conn, m.gossip.Protocol, m.gossip.Sealer = conn, &m.protocol, sealer
	m.gossip.Budget, m.gossip.Observer = gossipBudget{limits, m.spent}, m
	m.announcer.Node = &m.gossip
	m.announcer.Rows = &memberRows{Client: m.tableClient(), own: gossip.RowPrefix + m.ID}
	m.sweeper.Rows, m.sweeper.Node = m.tableClient(), &m.gossip
	m.gossip.Start(ctx)
	return nil
}

// refresh keeps the own member row and removes those of members that are gone.
func (m *membership) refresh(ctx context.Context, now time.Time) {
	log := m.Log.WithField("node", m.ID)
	if err := m.announcer.Refresh(ctx, now); err != nil {
		log.WithError(err).Debug("member row not refreshed")
	}
	removed, err := m.sweeper.Sweep(ctx, now)
	if err != nil {
		log.WithError(err).Debug("old member rows not removed")
	}
	for _, key := range removed {
		log.WithField("row", key).Info("old member row removed")
	}
}

// tick drives the protocol at its own interval.
func (m *membership) tick(now time.Time) {
	if now.Sub(m.ticked) >= member.Interval {
		m.ticked = now
		m.gossip.Tick(now)
	}
}

// announce spreads the state of the backend server beside this node.
func (m *membership) announce(now time.Time, server announcement, stopping bool) {
	state := member.StateAlive
	switch {
	case stopping:
		state = member.StateLeaving
	case server.State == stateDraining:
		state = member.StateDraining
	}
	own := m.protocol.Announced()
	if own.Service == server.Service && own.Slots == server.Slots && own.Announced == state {
		return
	}
	m.gossip.Update(now, func(own member.Member) member.Member {
		return own.WithService(server.Service).WithSlots(server.Slots).WithState(state)
	})
	m.route(own.WithService(server.Service).WithSlots(server.Slots).WithState(state), own.Service, now)
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
			m.removeEverywhere(e.Member.ID)
			continue
		}
		m.route(e.Member, "", now)
	}
}

// last reports whether all other known members are leaving. Members that cannot
// be reached may still run.
func (m *membership) last() bool {
	for _, other := range m.protocol.Table().Members() {
		if other.ID != m.ID && other.Announced != member.StateLeaving {
			return false
		}
	}
	return true
}

// route copies one member into the routing table. before is the service that
// the member served until now, or empty when it is not known.
func (m *membership) route(other member.Member, before string, now time.Time) {
	if before != "" && before != other.Service {
		m.routes.Remove(before, other.ID)
	}
	if other.Service == "" {
		m.removeEverywhere(other.ID)
		return
	}
	m.routes.Upsert(routing.Server{
		ID: other.ID, Service: other.Service, Region: other.Region, Domain: other.Domain, Slots: other.Slots,
	}, now)
	m.routes.SetDraining(other.Service, other.ID, !other.Accepts())
}

func (m *membership) removeEverywhere(id string) {
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

// gossipBudget passes membership traffic through the measuring budget of the
// link, and counts it in that of the node.
type gossipBudget struct {
	limits *budget.Limiter
	spent  *nodeBudget
}

// Allow implements gossip.Budget.
func (b gossipBudget) Allow(link gossip.Link, class member.Class, bytes int, now time.Time) bool {
	shed := budget.Control
	if class == member.ClassAntiEntropy {
		shed = budget.AntiEntropy
	}
	if !b.limits.Allow(shed, bytes, now, budget.Link(link.From, link.To)) {
		return false
	}
	b.spent.count(bytes, now)
	return true
}
