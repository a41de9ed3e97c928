package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the results of one run. Latencies are milliseconds from the arrival of
// the request at the entry node to the arrival of the answer there. The latency of a
// request without an answer is its deadline of 2 s.
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
	// Lookup is the p99.9 of idempotent requests. Only these may be hedged.
	Lookup  float64 `json:"lookup"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	// Wasted is the number of attempts whose result was not used.
	Wasted int `json:"wasted"`
	// Extra is the share of hedged requests.
	Extra float64 `json:"extra"`
	// Messages and Bytes are the measuring traffic per request.
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
	// Links holds the bytes of measuring traffic per second for each ordered pair of
	// regions. Node is the largest sum over all links that one node sends.
	Links map[string]float64 `json:"links"`
	Node  float64            `json:"node"`
}

func (e *emulator) result() Result {
	slices.Sort(e.latencies)
	slices.Sort(e.lookups)
	seconds := e.options.Length.Seconds()
	n := float64(max(len(e.latencies), 1))
	r := Result{
		Deployment: e.deployment.Name, Case: e.options.Case.Name, Load: e.options.Load, Policy: e.options.Policy,
		Seed: e.options.Seed, Hedge: e.options.Hedge, Budget: e.options.Budget,
		Requests: len(e.latencies),
		P50:      quantile(e.latencies, 0.5), P99: quantile(e.latencies, 0.99), P999: quantile(e.latencies, 0.999),
		Lookup:  quantile(e.lookups, 0.999),
		Refused: e.refused, Failed: e.failed, Wasted: e.wasted,
		Extra:    float64(e.hedges) / float64(max(e.requests, 1)),
		Messages: float64(e.meter.messages) / n, Bytes: float64(e.meter.bytes) / n,
		Links: map[string]float64{},
		Node:  float64(slices.Max(e.meter.nodes)) / seconds,
	}
	for l, bytes := range e.meter.links {
		r.Links[l] = float64(bytes) / seconds
	}
	return r
}

// quantile returns a quantile of ascending latencies in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return float64(sorted[min(i, len(sorted)-1)]) / float64(time.Millisecond)
}

// WriteJSON writes each result as a JSON object on its own line.
func WriteJSON(out io.Writer, results []Result) error {
	enc := json.NewEncoder(out)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// WriteText writes the results as a table with aligned columns.
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
			100*r.Extra, r.Messages, r.Bytes, r.busiestLink(), r.Node)
	}
	return tw.Flush()
}

// busiestLink returns the bytes per second of the link with the most traffic.
func (r *Result) busiestLink() float64 {
	most := 0.0
	for _, v := range r.Links {
		most = max(most, v)
	}
	return most
}
