// Package daemon assembles one node from its parts and runs their systems.
package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/budget"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Node is one process of the system, beside one backend server.
type Node struct {
	Options

	routes    routing.Table
	limits    budget.Limiter
	bodies    call.BodyMemory
	local     localServer
	gate      gate
	far       far
	entry     entry
	members   membership
	config    configuration
	shards    shards
	measuring measuring
	peers     node.Transport
	callers   caller.Server
	announce  http1.Server
	operators operators
	observed  observation
	collector collector

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start binds the addresses and begins to serve.
func (n *Node) Start() error {
	n.Options = n.withDefaults()
	if err := n.assemble(); err != nil {
		return err
	}
	return n.run()
}

func (n *Node) run() error {
	if err := n.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.members.start(ctx, &n.peers, n.advertised(), &n.limits); err != nil {
		return err
	}
	n.collector.start(n.Growth, time.Now())
	n.shards.start(n.members.protocol.Announced().Ref)
	n.done.Add(3)
	go n.tickLoop(ctx)
	go n.followLoop(ctx)
	go n.storeLoop(ctx)
	n.Log.WithField("node", n.ID).WithField("caller", n.callers.Addr()).
		WithField("peer", n.peers.Addr()).WithField("announce", n.announce.Addr()).Info("node started")
	return nil
}

// assemble connects the parts; nothing runs yet.
func (n *Node) assemble() error {
	shared := common{Options: &n.Options}
	n.routes.Config = routing.Config{Node: n.ID, Region: n.Region, Domain: n.Domain}
	n.observed.common = shared
	n.far = far{common: shared, journal: journal{&n.observed}, local: &n.local, gate: &n.gate}
	n.members.common, n.members.routes = shared, &n.routes
	n.config.common, n.config.members, n.config.node = shared, &n.members, &n.peers
	n.config.start()
	n.entry = entry{common: shared, journal: journal{&n.observed}, routes: &n.routes, peers: &n.members, forward: &n.peers, local: &n.far, beside: &n.far, crash: &n.far.crash, limits: &n.config}
	n.far.ledger = &n.entry.ledger
	n.peers.ID, n.peers.MaxBody, n.peers.Credentials = n.ID, n.MaxBody, n.Credentials
	n.bodies.Max = int64(n.MaxBodies)
	n.peers.Bodies, n.callers.Memory = &n.bodies, &n.bodies
	n.peers.Calls = peerCalls{shards: &n.shards, far: &n.far}
	n.peers.Controls = make(map[string]node.ControlFunc)
	n.far.crash.common, n.far.crash.members, n.far.crash.node = shared, &n.members, &n.peers
	n.far.crash.controls(n.peers.Controls)
	n.config.controls(n.peers.Controls)
	n.shards.assemble(n)
	n.measuring.assemble(n)
	n.observed.assemble(n)
	n.callers.Calls, n.callers.Rules, n.callers.Limits.Body = n, &n.config, n.MaxBody
	n.announce.Handler = n.handleAnnounce
	return n.operators.assemble(n)
}

// Serve implements call.Server for requests of callers.
func (n *Node) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if !n.config.Ready() {
		return nil, fault.New(fault.KindStopped, "node %s has no configuration yet", n.ID)
	}
	return n.shards.Serve(ctx, r)
}

func (n *Node) listen() error {
	if err := n.peers.Listen(n.Peer); err != nil {
		return err
	}
	if err := n.callers.Listen(n.Caller); err != nil {
		return err
	}
	if err := n.operators.Listen(n.Operator); err != nil {
		return err
	}
	return n.announce.Listen(n.Announce)
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// PeerAddr returns the address on which other nodes are served.
func (n *Node) PeerAddr() string { return n.peers.Addr() }

// OperatorAddr returns the address on which operators are served.
func (n *Node) OperatorAddr() string { return n.operators.Addr() }

// AnnounceAddr returns the address on which the backend server announces itself.
func (n *Node) AnnounceAddr() string { return n.announce.Addr() }

func (n *Node) advertised() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.peers.Addr()
}

func (n *Node) tickLoop(ctx context.Context) {
	defer n.done.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			n.tick(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// tick runs every system once.
func (n *Node) tick(ctx context.Context, now time.Time) {
	n.limits.Tick(now)
	n.callers.Tick()
	n.peers.Tick(now)
	n.local.expire(now)
	n.local.obey(n.config.Current(), n.ID)
	n.gate.update(n.local.get(), n.ID, n.config.Current())
	n.gate.tick(now)
	n.members.announce(now, n.local.get(), n.far.stopping.Load())
	n.members.tick(now)
	n.shards.tick(now)
	n.measuring.tick(ctx, now, n.config.Current())
	n.far.crash.table.Tick(now)
	n.routes.Tick(now)
	n.observed.history.Tick(now, uint64(n.config.Version()))
}

// followLoop asks other nodes for what they know. It never waits for the store.
func (n *Node) followLoop(ctx context.Context) {
	joined := false
	n.every(ctx, func(now time.Time) {
		if !joined && n.members.protocol.Table().Len() > 1 {
			joined = true
			n.far.crash.join(ctx)
		}
		n.collector.follow(now)
		n.config.learn(ctx)
	})
}

// storeLoop does what needs the store, which may be slow or down for hours.
func (n *Node) storeLoop(ctx context.Context) {
	if err := n.members.announcer.Join(ctx, time.Now()); err != nil {
		n.Log.WithError(err).WithField("node", n.ID).Warn("table not reached")
	}
	n.every(ctx, func(now time.Time) {
		n.config.poll(ctx, now)
		n.members.refresh(ctx, now)
	})
}

// every calls a function at followInterval until ctx is done.
func (n *Node) every(ctx context.Context, do func(now time.Time)) {
	defer n.done.Done()
	tick := time.NewTicker(followInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			do(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) handleAnnounce(_ context.Context, r *http.Request, body []byte) *http.Response {
	if r.Method != http.MethodPost || r.URL.Path != "/announce" {
		return http1.Text(http.StatusNotFound, "send POST /announce")
	}
	var a announcement
	if err := json.Unmarshal(body, &a); err != nil || a.Service == "" || a.Addr == "" || a.Slots <= 0 {
		return http1.Text(http.StatusBadRequest, `send {"service":"...","addr":"IP:port","slots":1 or more,"state":"ready" or "draining"}`)
	}
	now := time.Now()
	changed, cold := n.local.update(a, now)
	if cold {
		n.gate.queue.SlowStart(now)
	}
	if changed {
		n.Log.WithField("node", n.ID).WithField("service", a.Service).WithField("server", a.Addr).
			WithField("slots", a.Slots).WithField("state", a.State).Info("backend server announced")
	}
	return http1.Text(http.StatusOK, "ok")
}

// Stop stops gracefully: other nodes are told first, requests in flight end,
// and no new ones are lost.
func (n *Node) Stop(ctx context.Context) {
	n.Log.WithField("node", n.ID).Info("node stopping")
	n.far.stopping.Store(true)
	n.members.gossip.Leave(time.Now())
	n.handOver(ctx)
	left := n.callers.Drain(ctx, n.Notice)
	_ = n.peers.Close(ctx)
	n.cancel()
	n.done.Wait()
	n.members.gossip.Stop()
	n.callers.Close()
	n.announce.Close()
	n.operators.Close()
	n.Log.WithField("node", n.ID).WithField("left", left).Info("node stopped")
}

// handOver gives the shards to other members and waits for attempts under way.
// A node that stops when all others have stopped has nobody to give them to,
// which is no fault.
func (n *Node) handOver(ctx context.Context) {
	err := n.shards.handOver(ctx)
	entry := n.Log.WithField("node", n.ID)
	switch {
	case err == nil:
	case n.members.last():
		entry.Info("last node stops: no member is left to take its shards")
	default:
		entry.WithError(err).Warn("shards not handed over")
	}
	if err := n.shards.Wait(ctx); err != nil {
		entry.WithError(err).Warn("keyed requests still running")
	}
}

// Kill ends the node at once, as a crash does.
func (n *Node) Kill() {
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.callers.Close()
	n.announce.Close()
	n.operators.Close()
	_ = n.peers.Close(ctx)
}

// Servers returns what this node knows of the backend servers of a service.
func (n *Node) Servers(service string) []routing.ServerState { return n.routes.Snapshot(service) }
