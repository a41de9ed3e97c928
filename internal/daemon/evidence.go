package daemon

import (
	"time"

	"github.com/vanillasail/vanillasail/internal/call"
	"github.com/vanillasail/vanillasail/internal/evidence"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

// recorder keeps the steps of requests. Its methods neither block on I/O nor
// allocate.
type recorder interface {
	Begin(d evidence.Decision) evidence.Step
	End(s evidence.Step, result evidence.Result, kind fault.Kind, latency time.Duration)
}

// journal is embedded by the parts that decide about requests. A nil recorder
// records nothing.
type journal struct{ recorder recorder }

// placed records that a request is about to be sent to the chosen server.
func (j journal) placed(r call.Request, action evidence.Action, choice routing.Choice, now time.Time) evidence.Step {
	if j.recorder == nil {
		return 0
	}
	return j.recorder.Begin(evidence.Decision{
		Request: r.ID, Service: r.Service, Class: r.Class, Tenant: r.Tenant, Action: action, Choice: choice, At: now,
	})
}

// ended records how a send ended; err is nil when the server answered.
func (j journal) ended(s evidence.Step, outcome routing.Outcome, err error, took time.Duration) {
	if j.recorder == nil {
		return
	}
	var kind fault.Kind
	if err != nil {
		kind = fault.As(err).Kind
	}
	j.recorder.End(s, evidence.ResultOf(outcome), kind, took)
}

// refused records that this node did not run the request, and returns err.
func (j journal) refused(r call.Request, load call.Load, id string, err error) error {
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

// observation is the evidence of one node: its decisions.
type observation struct {
	common
	ring evidence.Ring
}

var _ recorder = (*observation)(nil)

// Begin implements recorder.
func (o *observation) Begin(d evidence.Decision) evidence.Step { return o.ring.Begin(d) }

// End implements recorder.
func (o *observation) End(s evidence.Step, result evidence.Result, kind fault.Kind, latency time.Duration) {
	o.ring.End(s, result, kind, latency)
}
