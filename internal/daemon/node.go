// Package daemon assembles one node from its parts and runs their systems.
package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// Node is one process of the system, beside one backend server.
type Node struct {
	Options

	routes   routing.Table
	local    localServer
	gate     gate
	far      far
	entry    entry
	members  members
	peers    node.Transport
	callers  caller.Server
	announce http1.Server

	seeds  atomic.Pointer[[]string]
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start binds the addresses and begins to serve.
func (n *Node) Start() error {
	n.Options = n.withDefaults()
	n.setSeeds(n.Seeds)
	shared := common{Options: &n.Options}
	n.routes.Config = routing.Config{Node: n.ID, Region: n.Region, Domain: n.Domain}
	n.far = far{common: shared, local: &n.local, gate: &n.gate}
	n.members = members{self: n.self, node: &n.peers}
	n.entry = entry{common: shared, routes: &n.routes, peers: &n.members, forward: &n.peers, local: &n.far, retries: &retries{}}
	n.peers.ID, n.peers.MaxBody, n.peers.Credentials = n.ID, n.MaxBody, n.Credentials
	n.peers.Calls = &n.far
	n.peers.Controls = map[string]node.ControlFunc{kindHello: n.members.answer}
	n.callers.Calls, n.callers.Rules, n.callers.MaxBody = &n.entry, defaultRules{}, n.MaxBody
	n.announce.Handler = n.handleAnnounce
	if err := n.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Add(2)
	go n.tickLoop(ctx)
	go n.helloLoop(ctx)
	n.Log.WithField("node", n.ID).WithField("caller", n.callers.Addr()).
		WithField("peer", n.peers.Addr()).WithField("announce", n.announce.Addr()).Info("node started")
	return nil
}

func (n *Node) setSeeds(seeds []string) { n.seeds.Store(&seeds) }

func (n *Node) listen() error {
	if err := n.peers.Listen(n.Peer); err != nil {
		return err
	}
	if err := n.callers.Listen(n.Caller); err != nil {
		return err
	}
	return n.announce.Listen(n.Announce)
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// PeerAddr returns the address on which other nodes are served.
func (n *Node) PeerAddr() string { return n.peers.Addr() }

// AnnounceAddr returns the address on which the backend server announces itself.
func (n *Node) AnnounceAddr() string { return n.announce.Addr() }

func (n *Node) self() member {
	server := n.local.get()
	addr := n.Advertise
	if addr == "" {
		addr = n.peers.Addr()
	}
	return member{
		ID: n.ID, Addr: addr, Service: server.Service, Region: n.Region, Domain: n.Domain,
		Slots: server.Slots, Draining: server.State == stateDraining || n.far.stopping.Load(),
	}
}

func (n *Node) tickLoop(ctx context.Context) {
	defer n.done.Done()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			n.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// tick runs every system once.
func (n *Node) tick(now time.Time) {
	n.callers.Tick()
	n.peers.Tick(now)
	n.local.expire(now)
	n.syncRoutes(now)
	n.routes.Tick(now)
}

// syncRoutes copies the membership into the routing table.
func (n *Node) syncRoutes(now time.Time) {
	live, gone := n.members.list(now)
	live = append(live, n.self())
	for _, m := range live {
		if m.Service == "" {
			continue
		}
		n.routes.Upsert(routing.Server{ID: m.ID, Service: m.Service, Region: m.Region, Domain: m.Domain, Slots: m.Slots}, now)
		n.routes.SetDraining(m.Service, m.ID, m.Draining)
	}
	for _, m := range gone {
		n.routes.Remove(m.Service, m.ID)
	}
}

func (n *Node) helloLoop(ctx context.Context) {
	defer n.done.Done()
	tick := time.NewTicker(helloInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for _, seed := range *n.seeds.Load() {
				if seed != n.peers.Addr() && seed != n.Advertise {
					n.members.ask(ctx, seed)
				}
			}
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
	if n.local.update(a, now) {
		n.gate.setSlots(a.Slots)
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
	left := n.callers.Drain(ctx, n.Notice)
	_ = n.peers.Close(ctx)
	n.cancel()
	n.done.Wait()
	n.callers.Close()
	n.announce.Close()
	n.Log.WithField("node", n.ID).WithField("left", left).Info("node stopped")
}

// Kill ends the node at once, as a crash does.
func (n *Node) Kill() {
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.callers.Close()
	n.announce.Close()
	_ = n.peers.Close(ctx)
}

// defaultRules hold until a configuration is in force.
type defaultRules struct{}

// Idempotent implements caller.Rules.
func (defaultRules) Idempotent(string, string, string) (idempotent, known bool) { return false, false }

// Timeout implements caller.Rules.
func (defaultRules) Timeout(string) (usual, longest time.Duration) {
	return usualTimeout, longestTimeout
}

var _ call.Server = (*far)(nil)

// Servers returns what this node knows of the backend servers of a service.
func (n *Node) Servers(service string) []routing.ServerState { return n.routes.Snapshot(service) }
