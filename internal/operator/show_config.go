package operator

import (
	"context"
	"maps"
	"slices"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

func recordTable(title string) *Table {
	return newTable(title, integer("version"), text("author"), instant("time"), text("reason"), integer("base"), text("id"))
}

func addRecord(t *Table, r config.Record) {
	t.add(uint64(r.Version), r.Author, r.Time, r.Reason, uint64(r.Base), r.ID)
}

func differenceTable(title string, differences []config.Difference) *Table {
	t := newTable(title, text("field"), text("before"), text("after"))
	for _, d := range differences {
		t.add(d.Path, valueCell(d.Old), valueCell(d.New))
	}
	return t
}

func valueCell(v any) any {
	if v == nil {
		return nil
	}
	return config.FormatValue(v)
}

func (x *execution) configTable(s *config.Snapshot, q *show) (*Table, error) {
	var prefix config.Path
	if q.Arg != nil {
		prefix = q.Arg.Parts
	}
	value, ok := s.Document.Field(prefix)
	if !ok {
		err := fault.New(fault.KindNotFound, "%s: not set", prefix).WithRemedy("list the fields with show config")
		return nil, withPosition(x.Text, q.Arg.Pos, err)
	}
	t := newTable("configuration, version "+itoa(s.Version), text("field"), text("value"))
	addFields(t, prefix, value)
	return t, nil
}

func addFields(t *Table, at config.Path, value any) {
	m, ok := value.(map[string]any)
	if !ok || len(m) == 0 {
		if len(at) > 1 || !ok {
			t.add(at, valueCell(value))
		}
		return
	}
	for _, key := range slices.Sorted(maps.Keys(m)) {
		addFields(t, append(slices.Clone(at), key), m[key])
	}
}

func (x *execution) versionsTable(ctx context.Context, s *show) (*Table, error) {
	records, err := x.Config.History(ctx, s.rowLimit(defaultVersions, maxVersions))
	t := recordTable("versions")
	for _, r := range records {
		addRecord(t, r)
	}
	return t, err
}

func servicesTable(d config.Document) *Table {
	t := newTable("services", text("name"), integer("rules"), integer("retries"), decimal("retry ratio"), decimal("hedge ratio"),
		integer("queue"), duration("timeout"), duration("longest"), integer("drained"))
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		s := d.Services[name]
		retries, retryRatio := s.RetryLimit()
		hedge, _ := s.HedgeLimit()
		defaultTimeout, longest := s.Timeouts()
		drained := 0
		for _, server := range s.Servers {
			if server.Drained {
				drained++
			}
		}
		t.add(name, len(s.Rules), retries, retryRatio, hedge, s.QueueLength(), defaultTimeout, longest, drained)
	}
	return t
}

func tenantsTable(d config.Document) *Table {
	t := newTable("tenants", text("name"), integer("weight"))
	for _, name := range slices.Sorted(maps.Keys(d.Tenants)) {
		t.add(name, d.TenantWeight(name))
	}
	return t
}

func classesTable(d config.Document) *Table {
	t := newTable("classes", text("name"), integer("priority"))
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		t.add(name, d.Classes[name].Priority)
	}
	return t
}

func budgetsTable(d config.Document) *Table {
	t := newTable("measuring budgets, a second", text("scope"), text("from"), text("to"), text("of"), integer("messages"), integer("bytes"))
	add := func(scope, from, to, of string, b config.Budget) { t.add(scope, from, to, of, b.Messages, b.Bytes) }
	add("server", "*", "*", "each node", d.ServerBudget())
	add("server", "*", "*", "all nodes", d.ServerTotal())
	add("link", "*", "*", "each node", d.LinkBudget("", ""))
	addLinks := func(of string, links config.LinkBudgets) {
		for _, from := range slices.Sorted(maps.Keys(links)) {
			for _, to := range slices.Sorted(maps.Keys(links[from])) {
				add("link", from, to, of, links[from][to])
			}
		}
	}
	addLinks("each node", d.Budgets.Links)
	addLinks("all nodes", d.Budgets.Total.Links)
	return t
}

// diff compares two versions. Given one version, it compares that version with the
// one before it; given none, the newest with the one before it.
func (x *execution) diff(ctx context.Context, d *diff) (Result, error) {
	to := x.Config.Current().Version
	if d.From != nil {
		to = config.Version(*d.From)
	}
	from := max(to, 1) - 1
	if d.To != nil {
		from, to = config.Version(*d.From), config.Version(*d.To)
	}
	before, err := x.Config.Load(ctx, from)
	if err != nil {
		return Result{}, err
	}
	after, err := x.Config.Load(ctx, to)
	if err != nil {
		return Result{}, err
	}
	record := recordTable("")
	addRecord(record, after.Record)
	title := "from version " + itoa(from) + " to " + itoa(to)
	return Result{Tables: []*Table{differenceTable(title, config.Diff(before.Document, after.Document)), record}}, nil
}
