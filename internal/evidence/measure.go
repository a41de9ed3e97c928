package evidence

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillasail/vanillasail/internal/metrics"
	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
	"github.com/vanillasail/vanillasail/pkg/wire"
)

// KindMeasure is the control message that requests the windows before and after a
// configuration version. Its body is the version in decimal.
const KindMeasure = "measure"

// Reports aggregates the figures of all nodes before and after a configuration
// change. It implements operator.Reports.
type Reports struct {
	History *metrics.History
	Nodes   Nodes
}

var _ operator.Reports = (*Reports)(nil)

// Measure implements operator.Reports.
func (r *Reports) Measure(ctx context.Context, v config.Version) (before, after operator.Window, unresponsive []string, err error) {
	var sums [2]windowSum
	add := func(w metrics.Windows) {
		now := time.Now()
		sums[0].add(w.Before, now)
		sums[1].add(w.After, now)
	}
	add(r.History.WindowsAround(time.Now(), uint64(v)))
	unresponsive = collect(ctx, r.Nodes, KindMeasure, strconv.AppendUint(nil, uint64(v), 10), func(_ string, reply []byte) error {
		var w metrics.Windows
		err := wire.Unmarshal(reply, &w)
		if err == nil {
			add(w)
		}
		return err
	})
	slices.Sort(unresponsive)
	if sums[1].nodes == 0 {
		return before, after, unresponsive, fault.New(fault.KindNotFound, "no node has figures of the time after version %d; nodes keep one hour", v).
			WithRemedy("look for a report that was kept with show reports, or wait until the version is in force")
	}
	return sums[0].window(), sums[1].window(), unresponsive, nil
}

// Handle serves KindMeasure messages of other nodes.
func (r *Reports) Handle(_ context.Context, _ string, body []byte) ([]byte, error) {
	v, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return nil, fault.New(fault.KindBadRequest, "version %q is not a number", body)
	}
	reply, err := msgpack.Marshal(r.History.WindowsAround(time.Now(), v))
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode figures: %v", err)
	}
	return reply, nil
}

// windowSum merges the windows of several nodes. It spans from the earliest start
// to the latest end.
type windowSum struct {
	metrics.Sum
	from, to time.Time
	nodes    int
}

func (s *windowSum) add(w *metrics.Window, now time.Time) {
	if w == nil {
		return
	}
	from, to := now.Add(-w.From), now.Add(-w.To)
	if s.nodes == 0 || from.Before(s.from) {
		s.from = from
	}
	if s.nodes == 0 || to.After(s.to) {
		s.to = to
	}
	s.nodes++
	s.Add(w.Figures)
}

func (s *windowSum) window() operator.Window {
	w := operator.Window{From: s.from, To: s.to, Nodes: s.nodes}
	for label, h := range s.Histograms() {
		w.Latency = append(w.Latency, operator.Latency{Label: operator.Label(label), Histogram: h})
	}
	f := s.Figures()
	for _, n := range f.Refusals {
		w.Refusals = append(w.Refusals, operator.Refusals{Label: operator.Label(n.Label), Reason: n.Kind, Count: n.Count})
	}
	for _, l := range f.Links {
		w.Links = append(w.Links, operator.LinkBytes(l))
	}
	return w
}
