// Package daemon assembles a node whose backend server announces itself to it. The
// nodes learn of each other by gossip, keep the configuration in the table service, and
// serve operators on a separate address. Package mesh assembles the other kind of node,
// which gets the configuration and the list of nodes from a platform's registry.
package daemon

import (
	"context"
	"encoding/json"
	"fmt"
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

// Node is one node of the system, beside one backend server.
type Node struct {
	Options

	routes         routing.Table
	limits         budget.Limiter
	bodies         call.BodyMemory
	local          localServer
	admission      admissionController
	serverProxy    serverProxy
	dispatcher     dispatcher
	members        membership
	config         configuration
	shards         shards
	measuring      measuring
	transport      node.Transport
	callers        caller.Server
	announceServer http1.Server
	operators      operators
	telemetry      nodeTelemetry
	gcTuner        gcTuner

	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start binds the addresses and starts serving.
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
	n.serverProxy.crash.runCtx = ctx
	if err := n.members.start(ctx, &n.transport, n.advertised(), &n.limits); err != nil {
		return err
	}
	n.gcTuner.start(n.Growth, time.Now())
	n.shards.start(n.members.protocol.Local().Ref)
	n.done.Add(3)
	go n.tickLoop(ctx)
	go n.syncLoop(ctx)
	go n.storeLoop(ctx)
	n.Log.WithField("node", n.ID).WithField("caller", n.callers.Addr()).
		WithField("peer", n.transport.Addr()).WithField("announce", n.announceServer.Addr()).Info("node started")
	return nil
}

// assemble connects the parts without starting them.
func (n *Node) assemble() error {
	shared := common{Options: &n.Options}
	n.routes.Config = routing.Config{Node: n.ID, Region: n.Region, Domain: n.Domain}
	n.telemetry.common = shared
	n.serverProxy = serverProxy{common: shared, journal: journal{&n.telemetry}, local: &n.local, admission: &n.admission}
	n.members.common, n.members.routes = shared, &n.routes
	n.config.common, n.config.members, n.config.transport = shared, &n.members, &n.transport
	n.config.assemble()
	n.dispatcher = dispatcher{common: shared, journal: journal{&n.telemetry}, routes: &n.routes, resolver: &n.members, transport: &n.transport, local: &n.serverProxy, localLoad: &n.serverProxy, suspects: &n.serverProxy.crash, serviceLimits: &n.config}
	n.serverProxy.allowances = &n.dispatcher.allowances
	n.transport.ID, n.transport.MaxBody, n.transport.Credentials = n.ID, n.MaxBody, n.Credentials
	n.bodies.Max = int64(n.MaxBodies)
	n.transport.Bodies, n.callers.Memory = &n.bodies, &n.bodies
	n.transport.Calls = peerCalls{shards: &n.shards, serverProxy: &n.serverProxy}
	n.transport.Controls = make(map[string]node.ControlFunc)
	n.serverProxy.crash.common, n.serverProxy.crash.members, n.serverProxy.crash.transport = shared, &n.members, &n.transport
	n.serverProxy.crash.rows.Client = n.tableClient()
	n.serverProxy.crash.addControls(n.transport.Controls)
	n.config.addControls(n.transport.Controls)
	n.shards.assemble(n)
	n.measuring.assemble(n)
	n.telemetry.assemble(n)
	n.callers.Calls, n.callers.Rules, n.callers.Limits.Body = n, &n.config, n.MaxBody
	n.callers.Panicked, n.transport.Panicked = n.panicked, n.panicked
	n.callers.Needed = n.serverProxy.running
	n.announceServer.Handler = n.handleAnnounce
	return n.operators.assemble(n)
}

// panicked logs the panic of a handler.
func (n *Node) panicked(cause any, stack []byte) {
	n.Log.WithField("cause", cause).WithField("stack", string(stack)).Error("handler of a request panicked")
}

// Serve implements call.Server for requests of callers.
func (n *Node) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	if !n.config.Ready() {
		return nil, fault.New(fault.KindStopped, "node %s has no configuration yet", n.ID)
	}
	return n.shards.Serve(ctx, r)
}

func (n *Node) listen() error {
	if err := n.transport.Listen(n.Peer); err != nil {
		return err
	}
	if err := n.callers.Listen(n.Caller); err != nil {
		return err
	}
	if err := n.operators.Listen(n.Operator); err != nil {
		return err
	}
	return n.announceServer.Listen(n.Announce)
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.callers.Addr() }

// PeerAddr returns the address on which other nodes are served.
func (n *Node) PeerAddr() string { return n.transport.Addr() }

// OperatorAddr returns the address on which operators are served.
func (n *Node) OperatorAddr() string { return n.operators.Addr() }

// AnnounceAddr returns the address on which the backend server announces itself.
func (n *Node) AnnounceAddr() string { return n.announceServer.Addr() }

func (n *Node) advertised() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.transport.Addr()
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

// tick runs the periodic work of all parts that does not block.
func (n *Node) tick(ctx context.Context, now time.Time) {
	n.limits.Tick(now)
	n.callers.Tick()
	n.transport.Tick(now)
	n.local.expire(now)
	n.local.applyDrain(n.config.Current(), n.ID)
	n.admission.update(n.local.get(), n.ID, n.config.Current())
	n.admission.tick(now)
	server := n.local.get()
	if !n.serverProxy.crash.knows(server.Service) {
		server = announcement{}
	}
	n.members.announce(now, server, n.serverProxy.stopping.Load())
	n.members.tick(now)
	n.shards.tick(now)
	n.measuring.tick(ctx, now, n.config.Current())
	n.serverProxy.crash.table.Tick(now)
	n.routes.Tick(now)
	n.telemetry.history.Tick(now, uint64(n.config.Version()))
}

// syncLoop learns of earlier crashes, fetches newer configurations from other nodes, and
// adjusts the garbage collector. It does not wait long for the table service.
func (n *Node) syncLoop(ctx context.Context) {
	n.repeat(ctx, func(now time.Time) {
		n.serverProxy.crash.learn(ctx, n.local.get().Service, now)
		n.gcTuner.adjust(now)
		n.config.pullNewer(ctx)
	})
}

// storeLoop does the work that needs the table service, which may be slow, or down for
// hours.
func (n *Node) storeLoop(ctx context.Context) {
	if err := n.members.announcer.Join(ctx, time.Now()); err != nil {
		n.Log.WithError(err).WithField("node", n.ID).Warn("table not reached")
	}
	n.repeat(ctx, func(now time.Time) {
		n.config.poll(ctx, now)
		n.members.refresh(ctx, now)
	})
}

// repeat calls a function at syncInterval until ctx is done.
func (n *Node) repeat(ctx context.Context, do func(now time.Time)) {
	defer n.done.Done()
	tick := time.NewTicker(syncInterval)
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
	if err := json.Unmarshal(body, &a); err != nil || !a.valid() {
		n.Log.WithField("node", n.ID).WithField("announcement", fmt.Sprintf("%.200s", body)).Warn("announcement refused")
		return http1.Text(http.StatusBadRequest, `send {"service":"...","addr":"IP:port","slots":1 or more,"state":"ready" or "draining","born":start of the process in Unix milliseconds (optional)}`)
	}
	now := time.Now()
	changed, restarted, late := n.local.update(a, now)
	if late {
		n.Log.WithField("node", n.ID).WithField("server", a.Addr).WithField("state", a.State).WithField("born", a.Born).Warn("late announcement ignored")
		return http1.Text(http.StatusConflict, "a later announcement is known")
	}
	if restarted {
		n.admission.queue.SlowStart(now)
	}
	if changed {
		n.Log.WithField("node", n.ID).WithField("service", a.Service).WithField("server", a.Addr).
			WithField("slots", a.Slots).WithField("state", a.State).Info("backend server announced")
	}
	return http1.Text(http.StatusOK, "ok")
}

// Stop stops the node gracefully, so that no request is lost: other nodes are notified
// first, then the shards are handed over, callers are drained, and requests in flight
// finish. Callers are accepted until the backend server beside the node has finished,
// because it may make calls to answer its requests.
func (n *Node) Stop(ctx context.Context) {
	n.Log.WithField("node", n.ID).Info("node stopping")
	n.serverProxy.stopping.Store(true)
	n.members.gossip.Leave(time.Now())
	n.handOver(ctx)
	left := n.callers.Drain(ctx, n.Notice)
	_ = n.transport.Close(ctx)
	n.cancel()
	n.done.Wait()
	n.members.gossip.Stop()
	n.callers.Close()
	n.announceServer.Close()
	n.operators.Close()
	n.Log.WithField("node", n.ID).WithField("left", left).Info("node stopped")
}

// handOver hands the shards over to other members and waits for the keyed requests that
// are still running. A node that stops after all others has no member to hand them to,
// which is not logged as a fault.
func (n *Node) handOver(ctx context.Context) {
	err := n.shards.HandOver(ctx)
	logger := n.Log.WithField("node", n.ID)
	switch {
	case err == nil:
	case n.members.allOthersLeaving():
		logger.Info("last node stops: no member is left to take its shards")
	default:
		logger.WithError(err).Warn("shards not handed over")
	}
	if err := n.shards.Wait(ctx); err != nil {
		logger.WithError(err).Warn("keyed requests still running")
	}
}

// Kill stops the node at once, as a crash does.
func (n *Node) Kill() {
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	n.callers.Close()
	n.announceServer.Close()
	n.operators.Close()
	_ = n.transport.Close(ctx)
}

// Servers returns what this node knows of the backend servers of a service.
func (n *Node) Servers(service string) []routing.ServerState { return n.routes.Snapshot(service) }
