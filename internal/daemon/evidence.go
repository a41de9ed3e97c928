package daemon

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/member"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// recorder records the decisions on requests. Its methods neither block on I/O nor
// allocate.
type recorder interface {
	Begin(d evidence.Decision) evidence.Seq
	End(s evidence.Seq, result evidence.Result, kind fault.Kind, latency time.Duration)
}

// journal is embedded by the parts that decide on requests. With a nil recorder it
// records nothing.
type journal struct{ recorder recorder }

// recordPlacement records that a request is about to be sent to the chosen server.
func (j journal) recordPlacement(r call.Request, action evidence.Action, choice routing.Choice, now time.Time) evidence.Seq {
	if j.recorder == nil {
		return 0
	}
	return j.recorder.Begin(evidence.Decision{
		Request: r.ID, Service: r.Service, Class: r.Class, Tenant: r.Tenant, Action: action, Choice: choice, At: now,
	})
}

// recordEnd records the result of a send; err is nil if the server answered.
func (j journal) recordEnd(s evidence.Seq, outcome routing.Outcome, err error, took time.Duration) {
	if j.recorder == nil {
		return
	}
	var kind fault.Kind
	if err != nil {
		kind = fault.As(err).Kind
	}
	j.recorder.End(s, evidence.ResultOf(outcome), kind, took)
}

// recordRefusal records that this node did not run the request, and returns err.
func (j journal) recordRefusal(r call.Request, load call.Load, id string, err error) error {
	if j.recorder == nil {
		return err
	}
	d := evidence.Decision{
		Request: r.ID, Service: r.Service, Class: r.Class, Tenant: r.Tenant,
		Action: evidence.Refuse, Result: evidence.Refused, Kind: fault.As(err).Kind, At: time.Now(),
	}
	if id != "" {
		d.Choice.ID, d.Choice.N = id, 1
		d.Choice.Considered[0] = routing.Considered{
			ID: id, Expected: load.Latency, Load: float32(load.InFlight + load.Queued), Own: int32(load.InFlight),
		}
	}
	j.recorder.Begin(d)
	return err
}

// recordKeyed records a replayed answer, and a refusal by the owner of a key. Other
// results of a keyed request are recorded by the node that placed it.
func (j journal) recordKeyed(r call.Request, answer *call.Answer, err error) {
	if err == nil {
		if answer.Replayed && j.recorder != nil {
			j.recorder.Begin(evidence.Decision{
				Request: r.ID, Service: r.Service, Class: r.Class, Tenant: r.Tenant,
				Action: evidence.Replay, Result: evidence.Replayed, At: time.Now(),
			})
		}
		return
	}
	switch fault.As(err).Kind {
	case fault.KindNoOwner, fault.KindStillRunning, fault.KindFinished, fault.KindOutcomeUnknown, fault.KindKeyReused:
		_ = j.recordRefusal(r, call.Load{}, "", err)
	}
}

// nodeTelemetry holds the decisions of one node, its metrics and their history.
type nodeTelemetry struct {
	common
	ring      evidence.Ring
	metrics   metrics.Registry
	history   metrics.History
	decisions evidence.Decisions
	reports   evidence.Reports
	members   *membership
	transport *node.Transport
}

var _ recorder = (*nodeTelemetry)(nil)

// assemble connects the decisions and metrics to the other parts of the node.
func (o *nodeTelemetry) assemble(n *Node) {
	o.members, o.transport = &n.members, &n.transport
	o.history.Registry, o.history.Limits = &o.metrics, &n.limits
	o.decisions = evidence.Decisions{Node: n.ID, Ring: &o.ring, Nodes: o}
	o.reports = evidence.Reports{History: &o.history, Nodes: o}
	n.transport.Controls[evidence.KindExplain] = o.decisions.Handle
	n.transport.Controls[evidence.KindMeasure] = o.reports.Handle
	n.callers.Observer = &o.metrics
	o.metrics.Gauge(metrics.ServerRequests, func() int64 { return int64(n.admission.load().InFlight) }, "running")
	o.metrics.Gauge(metrics.ServerRequests, func() int64 { return int64(n.admission.load().Queued) }, "queued")
	o.metrics.Gauge(metrics.ServerSlots, func() int64 { return int64(n.admission.load().Slots) })
	o.metrics.Gauge(metrics.PeerLinks, func() int64 { return int64(n.transport.Links()) })
	o.metrics.Gauge(metrics.Members, func() int64 { return int64(n.members.protocol.Table().Len()) })
	o.metrics.Gauge(metrics.ConfigVersion, func() int64 { return int64(n.config.Version()) })
	for i, state := range [...]string{"open", "busy"} {
		o.metrics.Gauge(metrics.CallerConnections, func() int64 {
			open, busy := n.callers.Conns()
			return int64([...]int{open, busy}[i])
		}, state)
	}
}

// Begin implements recorder.
func (o *nodeTelemetry) Begin(d evidence.Decision) evidence.Seq {
	service := d.Service
	if d.Kind == fault.KindUnknownService {
		// The name comes from a caller and is not the name of a service.
		service = metrics.Other
	}
	o.metrics.CountDecision(service, d.Action.String())
	return o.ring.Begin(d)
}

// End implements recorder.
func (o *nodeTelemetry) End(s evidence.Seq, result evidence.Result, kind fault.Kind, latency time.Duration) {
	o.ring.End(s, result, kind, latency)
}

// Peers implements evidence.Nodes.
func (o *nodeTelemetry) Peers() (reachable, unreachable []string) {
	for _, m := range o.members.protocol.Table().Members() {
		switch {
		case m.ID == o.ID:
		case m.State == member.StateDead || m.State == member.StateUnreachable:
			unreachable = append(unreachable, m.ID)
		default:
			reachable = append(reachable, m.ID)
		}
	}
	return reachable, unreachable
}

// Call implements evidence.Nodes.
func (o *nodeTelemetry) Call(ctx context.Context, id, kind string, body []byte) ([]byte, error) {
	peer, ok := o.members.peer(id)
	if !ok {
		return nil, fault.New(fault.KindUnreachable, "the address of node %s is not known", id)
	}
	return o.transport.Control(ctx, peer, kind, body)
}
