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
	// probeBytes is the traffic of a probe in each direction: about 90 bytes of stream
	// data and acknowledgements, and the headers of their QUIC, UDP and IP packets.
	probeBytes    = 200
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// maxProbes bounds the probes that run at a time.
	maxProbes = 16
	// maxNodeBytes is what one node may send per second for membership, probes and
	// answers to probes together.
	maxNodeBytes = 9000
)

// measuring applies the measuring budgets, and probes other nodes for the load of
// servers that no recent answer has reported.
type measuring struct {
	common
	// budgets sets the budgets from the configuration. limits holds those of servers and
	// links, which this node charges; ownBudget bounds all that this node sends.
	budgets   budgets
	limits    *budget.Limiter
	routes    *routing.Table
	members   *membership
	transport *node.Transport
	lastProbe time.Time
	targets   []routing.ProbeTarget
	// pending holds the targets that are to be probed once the byte budget of the node
	// allows it, the longest waiting first. The interval of the probes therefore grows
	// with the number of servers that need them.
	pending   []routing.ProbeTarget
	ownBudget nodeBudget
	// probeSemaphore holds one element for each probe that is running.
	probeSemaphore chan struct{}
}

func (m *measuring) assemble(n *Node) {
	m.common, m.limits, m.routes = n.serverProxy.common, &n.limits, &n.routes
	m.members, m.transport = &n.members, &n.transport
	m.probeSemaphore = make(chan struct{}, maxProbes)
	m.budgets = budgets{common: m.common, limits: m.limits, members: n.members.protocol.Table()}
	m.ownBudget.limits.SetServers(budget.Rate{Messages: math.MaxInt32, Bytes: maxNodeBytes})
	n.members.ownBudget = &m.ownBudget
	n.transport.Controls[kindLoad] = func(context.Context, string, []byte) ([]byte, error) {
		now := time.Now()
		m.ownBudget.count(probeBytes, now)
		if !m.budgets.admitLoadReport(now) {
			return nil, fault.New(fault.KindOverloaded, "the measuring budget of the server beside node %s is spent", n.ID)
		}
		return msgpack.Marshal(n.serverProxy.load())
	}
}

func (m *measuring) tick(ctx context.Context, now time.Time, current *config.Snapshot) {
	m.budgets.tick(now, current)
	m.ownBudget.limits.Tick(now)
	if now.Sub(m.lastProbe) < probeInterval {
		return
	}
	m.lastProbe = now
	m.targets = m.routes.ProbeTargets(now, m.targets[:0])
	for _, target := range m.targets {
		if _, ok := m.connectedPeer(target); ok && !slices.Contains(m.pending, target) {
			m.pending = append(m.pending, target)
		}
	}
	for len(m.pending) > 0 && m.ownBudget.allows(probeBytes, now) {
		target := m.pending[0]
		m.pending = slices.Delete(m.pending, 0, 1)
		m.start(ctx, target, now)
	}
}

// connectedPeer returns the node beside the target; it is false without an open
// connection to it. None is opened for a probe, because the handshake takes much more
// traffic than the probe.
func (m *measuring) connectedPeer(target routing.ProbeTarget) (node.Peer, bool) {
	peer, ok := m.members.peer(target.ID)
	return peer, ok && target.ID != m.ID && m.transport.Connected(peer)
}

// start starts a probe if the budgets of the server and of the link in both directions
// allow it, the connection is still open and fewer than maxProbes are running.
// Otherwise it drops the probe.
func (m *measuring) start(ctx context.Context, target routing.ProbeTarget, now time.Time) {
	peer, ok := m.connectedPeer(target)
	if !ok {
		return
	}
	select {
	case m.probeSemaphore <- struct{}{}:
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
		<-m.probeSemaphore
		return
	}
	go func() {
		defer func() { <-m.probeSemaphore }()
		m.probe(ctx, peer, target)
	}()
}

func (m *measuring) probe(ctx context.Context, peer node.Peer, target routing.ProbeTarget) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := m.transport.Control(ctx, peer, kindLoad, nil)
	var load call.Load
	if err != nil || wire.Unmarshal(reply, &load) != nil {
		return
	}
	now := time.Now()
	// The reply has travelled for about half of the round trip.
	m.routes.Observe(target.Service, target.ID, routingLoad(load, now.Sub(sent)/2), now)
}

func routingLoad(l call.Load, age time.Duration) routing.Load {
	return routing.Load{
		InFlight: l.InFlight, Queued: l.Queued, Slots: l.Slots, Latency: l.Latency, Refusing: l.Draining, Age: age,
	}
}
