package evidence

import (
	"context"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// KindExplain is the control message that requests the decisions about one
// request. Its body is the request ID.
const KindExplain = "explain"

// maxDecisionsPerRequest limits the decisions of one node in a reply. Without it, a
// request ID that callers reuse could return the whole ring.
const maxDecisionsPerRequest = 64

// DecisionList holds the decisions of one node about a request.
type DecisionList []operator.Decision

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *DecisionList) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[operator.Decision](d, maxDecisionsPerRequest, "decisions")
	return err
}

// Decisions reads the decisions in the rings of this node and of its peers. It
// implements operator.Decisions.
type Decisions struct {
	// Node is the ID of this node.
	Node  string
	Ring  *Ring
	Nodes Nodes
}

var _ operator.Decisions = (*Decisions)(nil)

// Recent implements operator.Decisions.
func (x *Decisions) Recent(_ context.Context, n int) []operator.Decision {
	return x.convert(x.Ring.Recent(n, nil))
}

// Explain implements operator.Decisions.
func (x *Decisions) Explain(ctx context.Context, request string) ([]operator.Decision, []string, error) {
	found := x.local(request)
	unresponsive := collect(ctx, x.Nodes, KindExplain, []byte(request), func(_ string, reply []byte) error {
		var remote DecisionList
		if err := wire.Unmarshal(reply, &remote); err != nil {
			return err
		}
		found = append(found, remote...)
		return nil
	})
	slices.Sort(unresponsive)
	slices.SortStableFunc(found, func(a, b operator.Decision) int { return a.Time.Compare(b.Time) })
	return found, unresponsive, nil
}

// Handle serves KindExplain messages of other nodes.
func (x *Decisions) Handle(_ context.Context, _ string, body []byte) ([]byte, error) {
	reply, err := msgpack.Marshal(x.local(string(body)))
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode decisions: %v", err)
	}
	return reply, nil
}

// local returns the decisions of this node about a request, oldest first.
func (x *Decisions) local(request string) []operator.Decision {
	found := x.Ring.Recent(maxDecisionsPerRequest, func(d *Decision) bool { return d.Request == request })
	slices.Reverse(found)
	return x.convert(found)
}

func (x *Decisions) convert(found []Decision) []operator.Decision {
	all := make([]operator.Decision, len(found))
	for i, d := range found {
		all[i] = operator.Decision{
			Request: d.Request, Node: x.Node, Service: d.Service, Class: d.Class, Tenant: d.Tenant, Time: d.At,
			Action: d.Action.String(), Chosen: d.Choice.ID, Reason: reason(d), Outcome: d.Result.String(),
			Latency: d.Latency, Considered: candidates(d),
		}
	}
	return all
}

// reason returns why the server was chosen, followed by the error kind after a
// failure. For a refusal or replay it is the error kind alone.
func reason(d Decision) string {
	switch {
	case d.Action == Refuse || d.Action == Replay:
		return string(d.Kind)
	case d.Kind != "":
		return d.Choice.Reason.String() + ", " + string(d.Kind)
	default:
		return d.Choice.Reason.String()
	}
}

// candidates converts the considered servers with their load figures.
func candidates(d Decision) []operator.Candidate {
	var all []operator.Candidate
	for i, c := range d.Choice.Considered[:min(d.Choice.N, len(d.Choice.Considered))] {
		verdict := "higher expected time"
		if i == 0 {
			verdict = "chosen"
		}
		if d.Action == Refuse {
			verdict = "refused"
		}
		all = append(all, operator.Candidate{
			Server: c.ID, Own: int(c.Own), Load: float64(c.Load), Expected: c.Expected, Age: c.Age, Reason: verdict,
		})
	}
	return all
}
