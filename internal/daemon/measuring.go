package daemon

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

const (
	kindLoad = "load"
	// probeBytes is what a probe costs in each direction: about 90 bytes of
	// stream data and acknowledgements in QUIC, UDP and IP packets.
	probeBytes    = 200
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// maxProbes bounds the probes that are under way at once.
	maxProbes = 16
	// nodeBytes is what one node may send in a second for membership, probes and
	// answers to probes together.
	nodeBytes = 9000
)

// measuring keeps the measuring budgets in force and asks other nodes for the
// load of servers whose load no answer has carried lately.
type measuring struct {
	common
	budgets budgets
	limits  *budget.Limiter
	routes  *routing.Table
	members *membership
	node    *node.Transport
	probed  time.Time
	targets []routing.ProbeTarget
	// waiting holds the targets that the node's bytes have not sufficed for, the
	// longest waiting first: the period of the probes grows with the number of
	// servers that need them.
	waiting []routing.ProbeTarget
	spent   nodeBudget
	running chan struct{}
}

func (m *measuring) assemble(n *Node) {
	m.common, m.limits, m.routes = n.far.common, &n.limits, &n.routes
	m.members, m.node = &n.members, &n.peers
	m.running = make(chan struct{}, maxProbes)
	m.budgets = budgets{common: m.common, limits: m.limits, members: n.members.protocol.Table()}
	m.spent.limits.SetServers(budget.Rate{Messages: math.MaxInt32, Bytes: nodeBytes})
	n.members.spent = &m.spent
	n.peers.Controls[kindLoad] = func(context.Context, string, []byte) ([]byte, error) {
		now := time.Now()
		m.spent.count(probeBytes, now)
		if !m.budgets.admit(now) {
			return nil, fault.New(fault.KindOverloaded, "the measuring budget of the server beside node %s is spent", n.ID)
		}
		return msgpack.Marshal(n.far.load())
	}
}

func (m *measuring) tick(ctx context.Context, now time.Time, current *config.Snapshot) {
	m.budgets.tick(now, current)
	m.spent.limits.Tick(now)
	if now.Sub(m.probed) < probeInterval {
		return
	}
	m.probed = now
	m.targets = m.routes.ProbeTargets(now, m.targets[:0])
	for _, target := range m.targets {
		if _, ok := m.linked(target); ok && !slices.Contains(m.waiting, target) {
			m.waiting = append(m.waiting, target)
		}
	}
	for len(m.waiting) > 0 && m.spent.allows(probeBytes, now) {
		target := m.waiting[0]
		m.waiting = slices.Delete(m.waiting, 0, 1)
		m.start(ctx, target, now)
	}
}

// linked returns the node beside the target if a link to it is open: the
// handshake of a new one costs more than the answer is worth.
func (m *measuring) linked(target routing.ProbeTarget) (node.Peer, bool) {
	peer, ok := m.members.peer(target.ID)
	return peer, ok && target.ID != m.ID && m.node.Connected(peer)
}

// start sends a probe if the budgets of the server and the link allow it.
func (m *measuring) start(ctx context.Context, target routing.ProbeTarget, now time.Time) {
	peer, ok := m.linked(target)
	if !ok {
		return
	}
	select {
	case m.running <- struct{}{}:
	default:
		return
	}
	class := budget.Report
	if target.Speculative {
		class = budget.Probe
	}
	keys := []budget.Key{budget.Server(target.ID), budget.Link(m.Region, target.Region)}
	if target.Region != m.Region {
		keys = append(keys, budget.Link(target.Region, m.Region))
	}
	if !m.limits.Allow(class, probeBytes, now, keys...) {
		<-m.running
		return
	}
	go func() {
		defer func() { <-m.running }()
		m.probe(ctx, peer, target)
	}()
}

func (m *measuring) probe(ctx context.Context, peer node.Peer, target routing.ProbeTarget) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := m.node.Control(ctx, peer, kindLoad, nil)
	var load call.Load
	if err != nil || wire.Unmarshal(reply, &load) != nil {
		return
	}
	now := time.Now()
	m.routes.Observe(target.Service, target.ID, routingLoad(load, now.Sub(sent)/2), now)
}

func routingLoad(l call.Load, age time.Duration) routing.Load {
	return routing.Load{
		InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Latency: l.Latency, Refusing: l.Draining, Age: age,
	}
}
