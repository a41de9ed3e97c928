package mesh

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/chain"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
	"github.com/vanillasail/vanillasail/pkg/slots"
	"github.com/vanillasail/vanillasail/pkg/uplink"
)

// Node is one node of the system, beside one backend server.
type Node struct {
	Options

	directory   directory
	serverProxy serverProxy
	dispatcher  dispatcher
	follower    follower
	announcer   announcer
	entryRelay  entryRelay
	callers     caller.Server
	// bodies bounds the request bodies of callers that are held.
	bodies         call.BodyMemory
	peers          peer.Client
	peerServer     peer.Server
	requestMetrics requestMetrics
	// uplink schedules the answers to other nodes.
	uplink uplink.Link
	sizes  answerSizes

	assembled sync.Once
	// runCtx ends when the node stops.
	runCtx   context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	joined   atomic.Bool
	// inFlight counts the running requests of peers.
	inFlight atomic.Int64
	// lateAcks counts the requests that other nodes acknowledged late.
	lateAcks atomic.Int64
	// unclear counts the requests that may be calls of the local backend server.
	unclear atomic.Int64
	// cuts counts the callers' connections that this node has closed in the middle of a
	// request.
	cuts atomic.Int64
}

const (
	// tickInterval is how often closed caller connections are checked for; a request
	// whose caller disconnected may go on for half a second.
	tickInterval = 100 * time.Millisecond
	// summaryInterval is how often a node is sent the summary of this node's slots; an
	// overload lasts for seconds.
	summaryInterval = 4 * time.Second
	// updateFanout is the number of random nodes that are notified of a new version.
	// With three, one in twenty of the nodes that missed the registry's answer is
	// missed here too; it asks another node after its next failure.
	updateFanout = 3
	// drainNotice is how long a stopping node goes on accepting requests: callers are
	// moved to other nodes after two failed probes, a second apart.
	drainNotice = 3 * time.Second
	// stopMargin is the part of the grace period that is reserved for the exit.
	stopMargin = 500 * time.Millisecond
)

// Start binds the addresses and starts serving.
func (n *Node) Start() error {
	n.runCtx, n.cancel = context.WithCancel(context.Background())
	if n.Costs == (placement.Costs{}) {
		n.Costs = placement.DefaultCosts
	}
	n.assemble()
	if err := n.peerServer.Listen(n.Peer); err != nil {
		return err
	}
	if err := n.callers.Listen(n.Caller); err != nil {
		return err
	}
	n.announcer.setAddr(cmp.Or(n.Advertise, n.peerServer.Addr()))
	go n.follower.run(n.runCtx)
	go n.join()
	go n.tickLoop()
	n.Log.WithField("node", n.Node()).WithField("caller", n.callers.Addr()).WithField("peer", n.peerServer.Addr()).
		WithField("service", n.Service).Info("node started")
	return nil
}

// Node returns the name of the node.
func (n *Node) Node() string { return n.Options.Node }

// assemble connects the parts of the node. The server may report, and the node may be asked
// for its state, before the node has started.
func (n *Node) assemble() { n.assembled.Do(n.connect) }

func (n *Node) connect() {
	o := &n.Options
	o.current = new(atomic.Pointer[Backend])
	n.directory.Options = o
	n.serverProxy.Options, n.serverProxy.changed = o, n.serverChanged
	n.serverProxy.crash.Options, n.serverProxy.crash.notify = o, n.notifyCrash
	n.serverProxy.probeRate.SetLimit(slots.ProbeRate)
	n.serverProxy.probeRate.SetBurst(slots.ProbeBurst)
	n.serverProxy.pool.HeaderNames, n.serverProxy.pool.Observe = o.HeaderNames, n.serverProxy.observe
	n.dispatcher = dispatcher{Options: o, directory: &n.directory, serverProxy: &n.serverProxy, peers: &n.peers, sizes: &n.sizes, version: n.follower.version, onVersion: n.versionSeen}
	n.follower.Options, n.follower.onApplied, n.follower.onOutage = o, n.onApplied, n.askAnyPeer
	n.follower.joined = make(chan struct{})
	n.follower.relays, n.follower.askRelay = n.relays, n.announcer.fetchNext
	n.announcer.Options, n.announcer.directory, n.announcer.follower, n.announcer.peers = o, &n.directory, &n.follower, &n.peers
	n.entryRelay.announcer = &n.announcer
	n.announcer.earlier, n.announcer.rowKnown, n.announcer.reached = n.takeOver, o.Fresh, n.sendCrashes
	if !o.Fresh {
		n.serverProxy.crash.unknown.Store(true)
		n.serverProxy.doubtUntil = time.Now().Add(roster.MaxReportDelay)
	}
	n.announcer.own = roster.Entry{
		Node: o.Node, Start: time.Now().UnixMilli(), Domain: o.Domain, Region: o.Region, Service: o.Service,
		Relaying: relaying(o.LinkRate, o.Cores),
	}
	n.peers.Hello = []byte(o.Node)
	n.peers.LateAck = n.acknowledgedLate
	n.uplink.SetRate(o.LinkRate)
	n.serverProxy.uplink, n.serverProxy.sizes = &n.uplink, &n.sizes
	n.peerServer.Handler, n.peerServer.Uplink = n.answer, &n.uplink
	n.callers.Calls, n.callers.Dialect = n, o.Dialect
	n.bodies.Max = o.MaxBodies
	n.callers.Memory = &n.bodies
	n.callers.Repeatable = n.repeatable
	n.callers.Cut = n.connectionCut
	n.callers.Panicked, n.peerServer.Panicked = n.panicked, n.panicked
	n.callers.Rejected = func(id string, err *fault.Error) { _ = n.logRejected(id, err) }
}

// Ready reports whether callers should send requests to this node.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.follower.version() > 0 && n.joined.Load()
}

// Report processes a report of the backend server.
func (n *Node) Report(r roster.Report) roster.Verdict {
	n.assemble()
	return n.serverProxy.report(r)
}

// Deregister deregisters the backend server with the given name and start time. It
// returns false if that is neither the current server nor a later one.
func (n *Node) Deregister(id string, startTime int64) bool {
	n.assemble()
	return n.serverProxy.deregister(id, startTime)
}

// AwaitLeaving waits until the leaving of a backend server is known outside this process.
// It returns false if it is not before ctx ends; the leaving must not be acknowledged
// then, because a restart of this node could forget it.
func (n *Node) AwaitLeaving(ctx context.Context, server string) bool {
	return n.announcer.awaitLeaving(ctx, server)
}

// Serve implements call.Server for requests of callers.
func (n *Node) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	table := n.follower.table.Load()
	if table == nil {
		return nil, n.logRejected(r.ID, fault.New(fault.KindStopped, "node %s has no configuration yet", n.Node()).WithWait(joinRetry))
	}
	if err := n.follower.checkAge(); err != nil {
		return nil, n.logRejected(r.ID, err)
	}
	rt, service, ok := table.Find(r.Host, pathOf(r.URI))
	if !ok {
		return nil, n.logRejected(r.ID, fault.New(fault.KindNotFound, "no route for host %q and path %.80q in version %d", r.Host, r.URI, table.Document.Version))
	}
	d := dispatch{dispatcher: &n.dispatcher, attempts: rt.MaxAttempts}
	var elapsed time.Duration
	d.request, elapsed = n.dispatcher.prepare(r, rt, service)
	d.retried = elapsed >= retry.MinWait
	var parent chain.Run
	parent, d.source = n.serverProxy.runs.Source(r.Parent, r.Deadline, r.Arrived)
	switch d.source {
	case chain.Call:
		d.request = d.request.AsCall(parent.CallPriority(rt.Priority))
	case chain.Unclear:
		n.unclear.Add(1)
	case chain.Client:
	}
	ctx, cancel := context.WithDeadline(ctx, d.request.Deadline)
	answer, err := d.run(ctx)
	n.requestMetrics.observe(d.request, answer, err, time.Since(r.Arrived))
	failed := err != nil || answer.Status >= http.StatusInternalServerError
	switch d.source {
	case chain.Call:
		n.serverProxy.runs.Called(r.Parent, service, d.calls, failed)
	case chain.Unclear:
		n.serverProxy.runs.UnclearEnded(r.Deadline, service, d.calls, failed)
	case chain.Client:
	}
	if err != nil {
		cancel()
		return nil, err
	}
	if answer.Body == nil {
		cancel()
		return answer, nil
	}
	answer.Body = &releasingBody{readCloser: answer.Body, release: cancel}
	return answer, nil
}

// repeatable reports whether a caller's request may run beside others of its connection.
func (n *Node) repeatable(r *http.Request) bool {
	table := n.follower.table.Load()
	return table != nil && table.Idempotent(r.Host, r.URL.EscapedPath())
}

// panicked logs the panic of a handler.
func (n *Node) panicked(cause any, stack []byte) {
	n.Log.WithField("cause", cause).WithField("stack", string(stack)).Error("handler of a request panicked")
}

// acknowledgedLate records that a node acknowledged a request after the time-out.
func (n *Node) acknowledgedLate(addr string, after time.Duration) {
	n.lateAcks.Add(1)
	n.Log.WithField("addr", addr).WithField("after", after).Debug("node acknowledged late")
}

// connectionCut records a caller's connection that ended in the middle of a request.
func (n *Node) connectionCut(c http1.Cut) {
	if c.Reason != "" {
		n.cuts.Add(1)
	}
	n.Log.WithField("reason", c.Reason).WithField("requests", c.Requests).WithField("partial", c.Partial).
		Debug("connection of a caller was cut")
}

// logRejected logs a request that failed before placement, and returns the error.
func (n *Node) logRejected(id string, err *fault.Error) *fault.Error {
	n.Log.WithField("id", id).WithField("kind", string(err.Kind)).WithField("status", err.Status).
		WithField("outcome", err.Outcome.String()).WithField("wait", err.Wait).WithField("cause", err.Detail).Warn("request failed")
	return err
}

func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

// serverChanged announces a change of the backend server to the other nodes.
func (n *Node) serverChanged() {
	if !n.joined.Load() && n.announcer.entry().Change == 0 {
		return // join publishes it
	}
	n.announcer.update(n.runCtx, func(e *roster.Entry) { n.serverProxy.describe(e) })
}

// onApplied is called when a new configuration is in force.
func (n *Node) onApplied(t *route.Table) {
	if s, ok := t.Service(n.backend().Service); ok {
		n.serverProxy.setHealthPath(s.Health)
	}
	l := t.Document.Limits
	n.callers.SetLimits(http1.Limits{Header: l.Header, Body: l.Body, HeadTimeout: l.HeadTimeout, IdleTimeout: l.IdleTimeout})
	if len(n.relays()) == 0 {
		n.spreadVersion()
	}
}

// versionSeen fetches the configuration of another node if it is newer.
func (n *Node) versionSeen(version uint64, from roster.Entry) {
	n.announcer.fetchIfNewer(n.runCtx, version, from)
}

// relays returns the nodes from which this one gets the configuration; nil means
// that it follows the registry itself.
func (n *Node) relays() []roster.Entry {
	if !n.joined.Load() || n.follower.hasFollowers() {
		return nil
	}
	return n.directory.relays(time.Now())
}

// spreadVersion notifies some other nodes of the new version, in case the registry's
// answer to them was lost. Each node that learns of it this way notifies others in
// turn.
func (n *Node) spreadVersion() {
	others := n.directory.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, to := range others[:min(len(others), updateFanout)] {
		go n.compareVersions(n.runCtx, to)
	}
}

// compareVersions exchanges entries with another node, so that both get the newer
// configuration.
func (n *Node) compareVersions(ctx context.Context, to roster.Entry) {
	reply, err := n.announcer.exchange(ctx, to, n.announcer.entry())
	if err == nil && reply != nil {
		n.announcer.receive(ctx, *reply)
	}
}

// askAnyPeer compares versions with a random other node, and fetches a newer
// configuration from it, while the registry does not answer.
func (n *Node) askAnyPeer(ctx context.Context) {
	if others := n.directory.others(); len(others) > 0 {
		go n.compareVersions(ctx, others[rand.IntN(len(others))])
	}
}

func (n *Node) tickLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	limitChecked, summariesPooled := time.Now(), time.Now()
	// Nodes that start together do not compare at the same time.
	compared := time.Now().Add(-rand.N(compareInterval))
	for {
		select {
		case now := <-tick.C:
			if now.Sub(summariesPooled) >= slots.PoolInterval {
				summariesPooled = now
				n.serverProxy.setPeerSummaries(n.directory.summaries())
			}
			if n.joined.Load() && now.Sub(compared) >= compareInterval {
				compared = now
				go n.announcer.compareEntries(n.runCtx)
			}
			n.callers.Tick()
			prober{&n.announcer}.tick(n.runCtx, now)
			if now.Sub(limitChecked) >= limitCheckInterval {
				limitChecked = now
				n.publishLimit()
			}
		case <-n.runCtx.Done():
			return
		}
	}
}

// readyStatus maps readiness to the status of a readiness probe.
var readyStatus = map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}

// ReadyStatus returns the HTTP status for a readiness probe.
func (n *Node) ReadyStatus() int { return readyStatus[n.Ready()] }

// MetricsText returns the counters, latencies and gauges of this node as text.
func (n *Node) MetricsText() string {
	n.assemble()
	load := n.serverProxy.load()
	return n.requestMetrics.text() + fmt.Sprintf(
		"vanillasail_server_running %d\nvanillasail_server_waiting %d\nvanillasail_server_limit %d\nvanillasail_server_slots %d\nvanillasail_server_pace %.2f\nvanillasail_nodes %d\nvanillasail_links %d\nvanillasail_configuration_version %d\nvanillasail_configuration_newest %d\nvanillasail_configuration_behind_seconds %.3f\nvanillasail_configuration_failed_fetches_total %d\nvanillasail_late_acknowledgements_total %d\nvanillasail_cut_connections_total %d\nvanillasail_unclear_requests_total %d\n",
		load.InFlight, load.Queued, load.Limit, load.Slots, load.Slowdown, n.directory.count(), n.peers.Links(), n.follower.version(), n.follower.lag.Newest(), n.follower.lag.Behind(time.Now()).Seconds(), n.follower.failedFetches.Load(), n.lateAcks.Load(), n.cuts.Load(), n.unclear.Load())
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.callers.Addr() }
