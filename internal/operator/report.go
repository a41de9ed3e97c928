package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	reportPrefix = "report/"
	// saveAttempts is the maximum number of writes of an object while their
	// outcome is unknown. Repeating is safe: a write replaces the whole object.
	saveAttempts = 3
)

// Window holds the figures of one time window.
type Window struct {
	From, To time.Time
	Latency  []Latency
	Links    []LinkBytes
	Refusals []Refusals
	// Nodes is the number of nodes with figures in the window.
	Nodes int
}

// Label identifies the requests that a figure counts.
type Label struct{ Service, Class, Tenant string }

// Latency is a latency histogram in microseconds.
type Latency struct {
	Label
	Histogram *hdrhistogram.Histogram
}

// LinkBytes counts the bytes of measuring traffic from one region to another.
type LinkBytes struct {
	From, To string
	Bytes    int64
}

// Refusals counts refused requests by reason.
type Refusals struct {
	Label
	Reason string
	Count  int64
}

// comparison is the content of a report: a configuration change and the figures
// before and after it.
type comparison struct {
	record        config.Record
	differences   []config.Difference
	before, after Window
	// unresponsive lists the nodes whose figures are missing.
	unresponsive []string
}

var reportFormats = map[string]struct{ extension, contentType string }{
	"":     {"txt", typeText},
	"text": {"txt", typeText},
	"json": {"json", typeJSON},
	"svg":  {"svg", typeSVG},
}

// report measures a change, stores the report in all formats unless it is unsaved,
// and returns it in the requested format.
func (x *execution) report(ctx context.Context, r *report) (Result, error) {
	v := config.Version(r.Version)
	c, err := x.compare(ctx, v)
	if err != nil {
		return Result{}, err
	}
	formats, err := c.render()
	if err != nil {
		return Result{}, err
	}
	if !r.Unsaved {
		if err := x.save(ctx, v, formats); err != nil {
			return Result{}, err
		}
	}
	if r.As == "" {
		result := c.result()
		if !r.Unsaved {
			result.note("kept as %s in the formats txt, json and svg", reportKey(v, "*"))
		}
		return result, nil
	}
	f := reportFormats[r.As]
	return Result{Raw: formats[f.extension], RawType: f.contentType}, nil
}

func (x *execution) compare(ctx context.Context, v config.Version) (comparison, error) {
	if x.Reports == nil {
		return comparison{}, missingComponent("reports")
	}
	after, err := x.Config.Load(ctx, v)
	if err != nil {
		return comparison{}, err
	}
	if v == 0 {
		return comparison{}, fault.New(fault.KindBadRequest, "version 0 is not a change").WithRemedy("list the versions with show versions")
	}
	before, err := x.Config.Load(ctx, v-1)
	if err != nil {
		return comparison{}, err
	}
	c := comparison{record: after.Record, differences: config.Diff(before.Document, after.Document)}
	c.before, c.after, c.unresponsive, err = x.Reports.Measure(ctx, v)
	return c, err
}

func reportKey(v config.Version, extension string) string {
	return reportPrefix + itoa(v) + "/report." + extension
}

func (x *execution) save(ctx context.Context, v config.Version, formats map[string][]byte) error {
	if x.Objects == nil {
		return missingComponent("object store")
	}
	for _, name := range [...]string{"text", "json", "svg"} {
		f, err := reportFormats[name], error(nil)
		for range saveAttempts {
			_, err = x.Objects.Put(ctx, reportKey(v, f.extension), f.contentType, formats[f.extension])
			if !fault.Is(err, fault.KindWriteUnknown) {
				break
			}
		}
		if err != nil {
			return fault.New(fault.KindStoreDown, "the object store is not available, so the report of version %d was not kept: %v", v, err).
				WithRemedy("retry when the object store is back, or see the report now with report " + itoa(v) + " unsaved")
		}
	}
	return nil
}

// showReport returns a stored report.
func (x *execution) showReport(ctx context.Context, s *show) (Result, error) {
	if x.Objects == nil {
		return Result{}, missingComponent("object store")
	}
	if s.Arg == nil {
		return Result{}, errorAt(x.Text, s.Pos, "no version").WithRemedy("name it: show report VERSION; list them with show reports")
	}
	f := reportFormats[s.As]
	found, err := x.Objects.Get(ctx, reportPrefix+s.Arg.Parts[0]+"/report."+f.extension)
	if fault.Is(err, fault.KindNotFound) {
		err = withPosition(x.Text, s.Arg.Pos, fault.New(fault.KindNotFound, "no report of version %s was kept", s.Arg.Parts[0]).
			WithRemedy("make it with report "+s.Arg.Parts[0]))
	}
	return Result{Raw: found.Body, RawType: f.contentType}, err
}

// render returns the report in all formats, by file extension.
func (c comparison) render() (map[string][]byte, error) {
	result := c.result()
	data, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return nil, fault.New(fault.KindInternal, "encode report: %v", err)
	}
	svg, err := c.svg()
	return map[string][]byte{"txt": []byte(result.Text()), "json": data, "svg": svg}, err
}

func (c comparison) result() Result {
	record := recordTable("change")
	addRecord(record, c.record)
	windows := newTable("windows", text("window"), instant("from"), instant("to"), integer("nodes"))
	windows.add("before", c.before.From, c.before.To, c.before.Nodes)
	windows.add("after", c.after.From, c.after.To, c.after.Nodes)
	result := Result{Tables: []*Table{
		record, differenceTable("fields", c.differences), windows, c.latencyTable(), c.linksTable(), c.refusalsTable(),
	}}
	for _, node := range c.unresponsive {
		result.note("node %s did not answer; its figures are missing", node)
	}
	return result
}

func (c comparison) latencyTable() *Table {
	t := newTable("latency by service, class and tenant", text("service"), text("class"), text("tenant"),
		integer("count before"), integer("count after"), duration("p50 before"), duration("p50 after"),
		duration("p99 before"), duration("p99 after"), duration("p99.9 before"), duration("p99.9 after"), decimal("p99 after/before"))
	for _, p := range c.latencies() {
		row := []any{p.Service, p.Class, p.Tenant, total(p.before), total(p.after)}
		for _, q := range [...]float64{50, 99, 99.9} {
			row = append(row, quantile(p.before, q), quantile(p.after, q))
		}
		var change any
		if total(p.before) > 0 && total(p.after) > 0 && p.before.ValueAtQuantile(99) > 0 {
			change = float64(p.after.ValueAtQuantile(99)) / float64(p.before.ValueAtQuantile(99))
		}
		t.add(append(row, change)...)
	}
	return t
}

// latencyPair holds the histograms of one label before and after the change; a
// missing one is nil.
type latencyPair struct {
	Label
	before, after *hdrhistogram.Histogram
}

// latencies returns the pairs in descending order of requests after the change.
func (c comparison) latencies() []latencyPair {
	byLabel := map[Label]*latencyPair{}
	get := func(l Label) *latencyPair {
		if byLabel[l] == nil {
			byLabel[l] = &latencyPair{Label: l}
		}
		return byLabel[l]
	}
	for _, l := range c.before.Latency {
		get(l.Label).before = l.Histogram
	}
	for _, l := range c.after.Latency {
		get(l.Label).after = l.Histogram
	}
	var pairs []latencyPair
	for _, p := range byLabel {
		pairs = append(pairs, *p)
	}
	slices.SortFunc(pairs, func(a, b latencyPair) int {
		return cmp.Or(cmp.Compare(total(b.after), total(a.after)), compareLabels(a.Label, b.Label))
	})
	return pairs
}

func compareLabels(a, b Label) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
}

func total(h *hdrhistogram.Histogram) int64 {
	if h == nil {
		return 0
	}
	return h.TotalCount()
}

func quantile(h *hdrhistogram.Histogram, q float64) any {
	if total(h) == 0 {
		return nil
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// rate returns n per second of the window.
func (w Window) rate(n int64) float64 {
	if s := w.To.Sub(w.From).Seconds(); s > 0 {
		return float64(n) / s
	}
	return 0
}
