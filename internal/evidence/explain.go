package evidence

import (
	"context"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// KindExplain is the control message that asks for the decisions about one
// request; its body is the request's ID.
const KindExplain = "explain"

// maxExplained bounds the decisions about one request from one node: a request
// ID that callers reuse must not return the whole ring.
const maxExplained = 64

// DecisionList are the decisions of one node about a request.
type DecisionList []operator.Decision

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *DecisionList) DecodeMsgpack(d *msgpack.Decoder) (err error) {
	*l, err = wire.List[operator.Decision](d, maxExplained, "decisions")
	return err
}

// Decisions reads the ring of this node and those of others. It implements
// operator.Decisions.
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
	found := x.own(request)
	silent := collect(ctx, x.Nodes, KindExplain, []byte(request), func(_ string, reply []byte) error {
		var theirs DecisionList
		if err := wire.Unmarshal(reply, &theirs); err != nil {
			return err
		}
		found = append(found, theirs...)
		return nil
	})
	slices.Sort(silent)
	slices.SortStableFunc(found, func(a, b operator.Decision) int { return a.Time.Compare(b.Time) })
	return found, silent, nil
}

// Handle answers the control message of another node.
func (x *Decisions) Handle(_ context.Context, _ string, body []byte) ([]byte, error) {
	reply, err := msgpack.Marshal(x.own(string(body)))
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode decisions: %v", err)
	}
	return reply, nil
}

// own returns this node's decisions about a request, oldest first.
func (x *Decisions) own(request string) []operator.Decision {
	found := x.Ring.Recent(maxExplained, func(d *Decision) bool { return d.Request == request })
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

// reason says why the server was chosen, or for a refusal or failure which kind
// of error it was.
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

// candidates lists the considered servers with their numbers.
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
