package mesh

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/caller"
	"github.com/vanillasail/vanillasail/internal/clock"
	"github.com/vanillasail/vanillasail/internal/http1"
	"github.com/vanillasail/vanillasail/internal/peer"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/quarantine"
	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/route"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// Node is one process of the system, beside one backend server.
type Node struct {
	Options

	directory directory
	far       far
	entry     entry
	follower  follower
	announcer announcer
	callers   caller.Server
	// bodies bounds the bodies that callers send.
	bodies  call.BodyMemory
	peers   peer.Client
	serving peer.Server
	figures figures

	// running ends when the node stops.
	running  context.Context
	cancel   context.CancelFunc
	stopping atomic.Bool
	joined   atomic.Bool
	// inFlight counts requests of peers.
	inFlight atomic.Int64
}

const (
	// tickInterval is how often closed caller connections are looked for; a request
	// whose caller left may go on for half a second.
	tickInterval = 100 * time.Millisecond
	// toldInterval is how often a node is told of what this one learned of its server;
	// an overload lasts for seconds.
	toldInterval = 4 * time.Second
	// spreadTo is how many nodes are told of a new version; with three, one of
	// twenty that the registry misses is missed here too, and asks after its next
	// failure.
	spreadTo = 3
	// stopNotice is how long a stopping node goes on accepting: callers are moved
	// away after two probes of a second each.
	stopNotice = 3 * time.Second
	// stopMargin is the part of the grace period that is kept for the exit.
	stopMargin = 500 * time.Millisecond
)

// Start binds the addresses and begins to serve.
func (n *Node) Start() error {
	n.running, n.cancel = context.WithCancel(context.Background())
	if n.Costs == (placement.Costs{}) {
		n.Costs = placement.DefaultCosts
	}
	n.assemble()
	if err := n.serving.Listen(n.Peer); err != nil {
		return err
	}
	if err := n.callers.Listen(n.Caller); err != nil {
		return err
	}
	n.announcer.own.Addr = cmp.Or(n.Advertised, n.serving.Addr())
	go n.follower.run(n.running)
	go n.join()
	go n.tickLoop()
	n.Log.WithField("node", n.Node()).WithField("caller", n.callers.Addr()).WithField("peer", n.serving.Addr()).
		WithField("service", n.Service).Info("node started")
	return nil
}

// Node returns the name of the node.
func (n *Node) Node() string { return n.Options.Node }

func (n *Node) assemble() {
	o := &n.Options
	n.directory.Options = o
	n.far.Options, n.far.changed = o, n.serverChanged
	n.far.crash.Options, n.far.crash.tell = o, n.tellOfCrash
	n.far.probes.SetLimit(slots.ProbeRate)
	n.far.probes.SetBurst(slots.ProbeBurst)
	n.far.pool.HeaderNames, n.far.pool.Observe = o.Names, n.far.observe
	n.entry = entry{Options: o, directory: &n.directory, far: &n.far, peers: &n.peers, version: n.follower.version, seen: n.seenVersion}
	n.follower.Options, n.follower.applied, n.follower.outage = o, n.applied, n.askPeer
	n.follower.joined = make(chan struct{})
	n.follower.relays, n.follower.ask = n.relays, n.announcer.follow
	n.announcer.Options, n.announcer.directory, n.announcer.follower, n.announcer.peers = o, &n.directory, &n.follower, &n.peers
	n.announcer.own = roster.Entry{
		Node: o.Node, Start: time.Now().UnixMilli(), Domain: o.Domain, Region: o.Region, Service: o.Service,
	}
	n.peers.Hello = []byte(o.Node)
	n.serving.Handler = n.answer
	n.callers.Calls, n.callers.Dialect = n, o.Dialect
	n.bodies.Max = o.Bodies
	n.callers.Memory = &n.bodies
	n.callers.Rejected = func(id string, err *fault.Error) { _ = n.rejected(id, err) }
}

// Ready reports whether callers should come to this node.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.follower.version() > 0 && n.joined.Load()
}

// Report takes what the backend server says of itself; it returns false for a
// report that is older than what is known.
func (n *Node) Report(r roster.Report) bool { return n.far.report(r) }

// Left is called when the backend server says that it is gone.
func (n *Node) Left(id string, born int64) { n.far.left(id, born) }

// Serve implements call.Server for requests of callers.
func (n *Node) Serve(ctx context.Context, r call.Request) (*call.Answer, error) {
	table := n.follower.table.Load()
	if table == nil {
		return nil, n.rejected(r.ID, fault.New(fault.KindStopped, "node %s has no configuration yet", n.Node()).WithWait(joinRetry))
	}
	now := time.Now()
	rt, service, ok := table.Find(r.Host, pathOf(r.URI))
	if !ok {
		return nil, n.rejected(r.ID, fault.New(fault.KindNotFound, "no route for host %q and path %.80q in version %d", r.Host, r.URI, table.Document.Version))
	}
	d := dispatch{entry: &n.entry, request: n.entry.prepare(r, rt, service, now), attempts: rt.MaxAttempts}
	ctx, cancel := context.WithDeadline(ctx, d.request.Deadline)
	answer, err := d.run(ctx)
	n.figures.answered(d.request, answer, err, time.Since(now))
	if err != nil {
		cancel()
		return nil, err
	}
	if answer.Body == nil {
		cancel()
		return answer, nil
	}
	answer.Body = &closingBody{readCloser: answer.Body, done: cancel}
	return answer, nil
}

// rejected logs a request that no server was looked for, and returns the error.
func (n *Node) rejected(id string, err *fault.Error) *fault.Error {
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

// answer serves another node.
func (n *Node) answer(ctx context.Context, in peer.Incoming) peer.Reply {
	n.directory.heard(string(in.From), time.Now())
	m, err := decodeMessage(in.Head)
	if err != nil {
		return n.reply(response{Fault: fault.As(err)}, nil)
	}
	switch {
	case m.News != nil:
		n.announcer.hear(n.running, *m.News)
		return n.reply(response{News: n.announcer.tellBack(*m.News)}, nil)
	case m.Fetch:
		return n.reply(response{}, n.follower.current())
	case m.Follow != nil:
		raw, err := n.follower.relay(ctx, n.stopping.Load, *m.Follow)
		return n.reply(response{Fault: err}, raw)
	case m.Crash != nil:
		return n.reply(response{Fault: n.far.crash.hear(string(in.From), *m.Crash)}, nil)
	case m.Call == nil && m.Reserve == nil:
		return n.reply(response{Fault: fault.New(fault.KindBadRequest, "message of a peer asks for nothing")}, nil)
	}
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if from, ok := n.directory.entry(string(in.From)); ok {
		n.seenVersion(m.Version, from)
	}
	var out outcome
	if m.Reserve != nil {
		out = n.far.reserve(ctx, *m.Reserve)
	} else {
		r := *m.Call
		r.Body = in.Body
		out = n.far.serve(ctx, r, m.Ticket)
	}
	head := response{Fault: out.err, Ran: out.ran, Load: &out.load, Version: n.follower.version(), Ticket: out.ticket}
	if n.directory.tellLimit(string(in.From), time.Now()) {
		head.Learned = n.far.learned()
	}
	if out.answer == nil {
		return n.reply(head, nil)
	}
	head.Status, head.Header, head.Length = out.answer.Status, out.answer.Header, out.answer.Length
	reply := n.reply(head, out.answer.Buffered)
	if out.answer.Body != nil {
		reply.Rest = out.answer.Body
	}
	return reply
}

func (n *Node) reply(head response, body []byte) peer.Reply {
	raw, err := encode(head)
	if err != nil {
		n.Log.WithError(err).Error("reply to a peer not encoded")
	}
	return peer.Reply{Head: raw, Whole: body}
}

// serverChanged is called when other nodes need to know more of the server.
func (n *Node) serverChanged() {
	if !n.joined.Load() && n.announcer.entry().Change == 0 {
		return // join tells of it
	}
	n.announcer.update(n.running, func(e *roster.Entry) { n.far.describe(e) })
}

// tellOfCrash tells the nodes that may be given the requests in flight next.
func (n *Node) tellOfCrash(i quarantine.Incident) {
	head, err := encode(message{Crash: &i})
	if err != nil {
		n.Log.WithError(err).Error("incident not encoded")
		return
	}
	for _, to := range n.directory.others() {
		if to.Service != n.Service {
			continue
		}
		go func() {
			if _, err := n.announcer.ask(n.running, to, head); err != nil {
				n.Log.WithError(err).WithField("node", to.Node).Info("node not told of a crash")
			}
		}()
	}
}

// applied is called when a configuration is in force.
func (n *Node) applied(t *route.Table) {
	if s, ok := t.Service(n.Service); ok {
		n.far.setHealth(s.Health)
	}
	l := t.Document.Limits
	n.callers.SetLimits(http1.Limits{Header: l.Header, Body: l.Body, HeadTimeout: l.HeadTimeout, IdleTimeout: l.IdleTimeout})
	if len(n.relays()) == 0 {
		go n.spread()
	}
}

// seenVersion takes the configuration of another node if it is newer.
func (n *Node) seenVersion(version uint64, from roster.Entry) {
	n.announcer.compare(n.running, version, from)
}

// relays returns the nodes from which this one takes the configuration; nil means
// from the registry.
func (n *Node) relays() []roster.Entry {
	if !n.joined.Load() || n.follower.relaying() {
		return nil
	}
	return n.directory.relays(time.Now())
}

// spread tells some other nodes of the new version, in case the registry's
// answer to them was lost. Each node that learns of it so tells others again.
func (n *Node) spread() {
	others := n.directory.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, to := range others[:min(len(others), spreadTo)] {
		reply, err := n.announcer.exchange(n.running, to, n.announcer.entry())
		if err == nil && reply != nil {
			n.announcer.hear(n.running, *reply)
		}
	}
}

// askPeer asks any other node for a newer configuration while the registry does
// not answer.
func (n *Node) askPeer(ctx context.Context) {
	others := n.directory.others()
	if len(others) == 0 {
		return
	}
	to := others[rand.IntN(len(others))]
	reply, err := n.announcer.exchange(ctx, to, n.announcer.entry())
	if err == nil && reply != nil {
		n.announcer.hear(ctx, *reply)
	}
}

func (n *Node) tickLoop() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	checked, pooled := time.Now(), time.Now()
	for {
		select {
		case now := <-tick.C:
			if now.Sub(pooled) >= slots.PoolInterval {
				pooled = now
				n.far.learnFrom(n.directory.summaries())
			}
			n.callers.Tick()
			prober{&n.announcer}.tick(n.running, now)
			if now.Sub(checked) >= keepInterval {
				checked = now
				n.keepLimit()
			}
		case <-n.running.Done():
			return
		}
	}
}

// Stop ends gracefully: other nodes are told first, then callers, and requests
// in flight end.
func (n *Node) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.Bounds.Grace-stopMargin)
	defer cancel()
	n.Log.WithField("node", n.Node()).Info("node stopping")
	n.stopping.Store(true)
	n.follower.stop()
	n.announcer.update(n.running, func(e *roster.Entry) { e.Stopping = true })
	left := n.callers.Drain(ctx, stopNotice)
	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, tickInterval/4)
	}
	n.Log.WithField("node", n.Node()).WithField("left", left).WithField("peers", n.inFlight.Load()).Info("node stopped")
	n.cancel()
	n.callers.Close()
	n.serving.Close()
	n.peers.Close()
	n.far.pool.Close()
}

// statusOK is what a probe of readiness gets.
var statusOK = map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}

// ReadyStatus returns the status for a probe of readiness.
func (n *Node) ReadyStatus() int { return statusOK[n.Ready()] }

// Figures returns the counters and latencies of this node as text.
func (n *Node) Figures() string {
	load := n.far.load()
	return n.figures.text() + fmt.Sprintf(
		"vanillasail_server_running %d\nvanillasail_server_waiting %d\nvanillasail_server_limit %d\nvanillasail_server_slots %d\nvanillasail_server_pace %.2f\nvanillasail_nodes %d\nvanillasail_links %d\nvanillasail_configuration_version %d\n",
		load.InFlight, load.Queued, load.Limit, load.Slots, load.Slowdown, n.directory.nodes(), n.peers.Links(), n.follower.version())
}

// CallerAddr returns the address on which callers are served.
func (n *Node) CallerAddr() string { return n.callers.Addr() }
