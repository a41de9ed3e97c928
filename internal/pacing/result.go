package pacing

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
)

// window is the length of the time windows of Result.Worst.
const window = 2 * time.Second

// Result holds the results of one run.
type Result struct {
	Pattern string  `json:"pattern"`
	Servers int     `json:"servers"`
	Case    Case    `json:"case"`
	Load    float64 `json:"load"`
	Policy  string  `json:"policy"`
	Seed    uint64  `json:"seed"`
	// Requests is the number of requests that arrived after the warm-up.
	Requests int `json:"requests"`
	// Credit is the share of the total value that was earned, Worst the lowest such
	// share of any window of two seconds.
	Credit float64 `json:"credit"`
	Worst  float64 `json:"worst"`
	// Served is the share of requests with an answer before the deadline.
	Served float64 `json:"served"`
	// P50 and P99 are latencies of served requests in milliseconds.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// HandBacks is the number of hand-backs per request, Probes the number of probes
	// per server and second.
	HandBacks float64 `json:"handBacks"`
	Probes    float64 `json:"probes"`
}

func (e *emulator) result() Result {
	r := Result{
		Pattern: e.Pattern.Name, Servers: e.Pattern.Servers, Case: e.Case, Load: e.Load, Policy: e.Policy, Seed: e.Seed,
		Probes: float64(e.probes) / float64(len(e.servers)) / e.now.Seconds(),
	}
	var latencies []time.Duration
	var earned, possible, served float64
	windows := make(map[time.Duration][2]float64)
	for i := range e.requests {
		req := &e.requests[i]
		if req.arrived < warmUp {
			continue
		}
		r.Requests++
		kind := &e.Pattern.Kinds[req.kind]
		latency := req.ended - req.arrived
		credit := 0.0
		if req.served && latency <= kind.Deadline {
			served++
			latencies = append(latencies, latency)
			credit = kind.Value * lateCredit
			if latency <= kind.Objective {
				credit = kind.Value
			}
		}
		earned += credit
		possible += kind.Value
		at := req.arrived / window
		windows[at] = [2]float64{windows[at][0] + credit, windows[at][1] + kind.Value}
	}
	if r.Requests == 0 {
		return r
	}
	r.Credit, r.Served = earned/possible, served/float64(r.Requests)
	r.HandBacks = float64(e.handBacks) / float64(len(e.requests))
	r.Worst = 1
	for _, sum := range windows {
		r.Worst = min(r.Worst, sum[0]/sum[1])
	}
	slices.Sort(latencies)
	r.P50, r.P99 = quantile(latencies, 0.5), quantile(latencies, 0.99)
	return r
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Seconds() * 1000
}

var columns = []string{"pattern", "servers", "case", "load", "policy", "seed", "requests", "credit", "worst", "served", "p50", "p99", "handbacks", "probes"}

func (r Result) row() []string {
	f := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	return []string{
		r.Pattern, strconv.Itoa(r.Servers), string(r.Case), f(r.Load, 2), r.Policy, strconv.FormatUint(r.Seed, 10),
		strconv.Itoa(r.Requests), f(r.Credit, 3), f(r.Worst, 3), f(r.Served, 3), f(r.P50, 0), f(r.P99, 0), f(r.HandBacks, 2), f(r.Probes, 1),
	}
}

// Formats returns the names of the output formats of Write.
func Formats() []string { return []string{"table", "csv", "json", "svg"} }

// Write writes the results in a format.
func Write(out io.Writer, format string, results []Result) error {
	switch format {
	case "table":
		return writeTable(out, results)
	case "csv":
		return writeCSV(out, results)
	case "json":
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	case "svg":
		return writePlot(out, results)
	default:
		return fmt.Errorf("format %q is not known; use one of %v", format, Formats())
	}
}

func writeTable(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(cells []string) {
		for _, c := range cells {
			fmt.Fprint(w, c, "\t")
		}
		fmt.Fprintln(w)
	}
	line(columns)
	for _, r := range results {
		line(r.row())
	}
	return w.Flush()
}

func writeCSV(out io.Writer, results []Result) error {
	w := csv.NewWriter(out)
	_ = w.Write(columns) // Error returns the first error of all writes.
	for _, r := range results {
		_ = w.Write(r.row())
	}
	w.Flush()
	return w.Error()
}
