package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the figures of one run. Latencies are milliseconds from the
// arrival at the entry to the answer there; a request without an answer counts
// with its deadline of 2 s.
type Result struct {
	Deployment string  `json:"deployment"`
	Case       string  `json:"case"`
	Load       float64 `json:"load"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Hedge      bool    `json:"hedge,omitempty"`
	Budget     float64 `json:"budget,omitempty"`
	Requests   int     `json:"requests"`
	P50        float64 `json:"p50"`
	P99        float64 `json:"p99"`
	P999       float64 `json:"p999"`
	// Lookup is the p99.9 of idempotent requests, which alone may be hedged.
	Lookup  float64 `json:"lookup"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	// Wasted is the number of attempts whose result was not used.
	Wasted int `json:"wasted"`
	// Extra is the share of hedged requests.
	Extra float64 `json:"extra"`
	// Messages and Bytes of measuring are those for each request.
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// Links holds the measuring bytes a second for each ordered pair of
	// regions; Node is the largest sum that one node sends over them.
	Links map[string]float64 `json:"links"`
	Node  float64            `json:"node"`
}

func (w *world) result() Result {
	slices.Sort(w.latencies)
	slices.Sort(w.lookups)
	seconds := w.opt.Length.Seconds()
	n := float64(max(len(w.latencies), 1))
	r := Result{
		Deployment: w.dep.Name, Case: w.opt.Case.Name, Load: w.opt.Load, Policy: w.opt.Policy,
		Seed: w.opt.Seed, Hedge: w.opt.Hedge, Budget: w.opt.Budget,
		Requests: len(w.latencies),
		P50:      quantile(w.latencies, 0.5), P99: quantile(w.latencies, 0.99), P999: quantile(w.latencies, 0.999),
		Lookup:  quantile(w.lookups, 0.999),
		Refused: w.refused, Failed: w.failed, Wasted: w.wasted,
		Extra:    float64(w.hedges) / float64(max(w.requests, 1)),
		Messages: float64(w.meter.messages) / n, Bytes: float64(w.meter.bytes) / n,
		Links: map[string]float64{},
		Node:  float64(slices.Max(w.meter.nodes)) / seconds,
	}
	for l, bytes := range w.meter.links {
		r.Links[l] = float64(bytes) / seconds
	}
	return r
}

// quantile returns a quantile of sorted latencies in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return float64(sorted[min(i, len(sorted)-1)]) / float64(time.Millisecond)
}

// WriteJSON writes one result a line.
func WriteJSON(out io.Writer, results []Result) error {
	enc := json.NewEncoder(out)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// WriteText writes the results as a table.
func WriteText(out io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "deployment\tcase\tload\tpolicy\tp50\tp99\tp99.9\tlookup\trefused\tfailed\twasted\textra %\tmsg/call\tB/call\tB/s link\tB/s node\t")
	for _, r := range results {
		name := r.Policy
		if r.Hedge {
			name += "+hedge"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.2f\t%.4f\t%.1f\t%.0f\t%.0f\t\n",
			r.Deployment, r.Case, r.Load, name, r.P50, r.P99, r.P999, r.Lookup, r.Refused, r.Failed, r.Wasted,
			100*r.Extra, r.Messages, r.Bytes, r.busiest(), r.Node)
	}
	return tw.Flush()
}

// busiest returns the bytes a second of the link with the most of them.
func (r *Result) busiest() float64 {
	most := 0.0
	for _, v := range r.Links {
		most = max(most, v)
	}
	return most
}
