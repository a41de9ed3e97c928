package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// StateAlive is the state of a server that accepts requests unless it is drained.
const StateAlive = "alive"

// Default and maximum numbers of rows of a list. Each version costs one read of the
// table service, which serves about 2,000 reads per second; a node keeps 4,096
// decisions.
const (
	defaultVersions  = 20
	maxVersions      = 200
	defaultDecisions = 50
	maxDecisions     = 4096
)

// rowLimit returns how many rows to read for a list. With conditions it is maxRows,
// because the limit clause counts only the rows that match.
func (s *show) rowLimit(defaultRows, maxRows int) int {
	switch {
	case s.Where != nil || s.Of != "":
		return maxRows
	case s.Limit != nil:
		return min(int(*s.Limit), maxRows)
	default:
		return defaultRows
	}
}

func itoa[T ~int | ~uint64](n T) string { return strconv.FormatUint(uint64(n), 10) }

func (x *execution) show(ctx context.Context, s *show) (Result, error) {
	switch s.Target {
	case "document":
		return x.showDocument(ctx, s)
	case "report":
		return x.showReport(ctx, s)
	}
	if s.Arg != nil && s.Target != "config" {
		return Result{}, errorAt(x.Text, s.Arg.Pos, "show %s takes no argument", s.Target).WithRemedy("narrow it with where or limit")
	}
	table, err := x.table(ctx, s)
	if err != nil {
		return Result{}, err
	}
	if err := table.filterRows(x.Text, s.Where, s.Limit); err != nil {
		return Result{}, err
	}
	return Result{Tables: []*Table{table}}, nil
}

func (x *execution) table(ctx context.Context, s *show) (*Table, error) {
	snapshot := x.Config.Current()
	switch s.Target {
	case "config":
		return x.configTable(snapshot, s)
	case "versions":
		return x.versionsTable(ctx, s)
	case "services":
		return servicesTable(snapshot.Document), nil
	case "tenants":
		return tenantsTable(snapshot.Document), nil
	case "classes":
		return classesTable(snapshot.Document), nil
	case "budgets":
		return budgetsTable(snapshot.Document), nil
	case "servers":
		return x.serversTable(ctx, snapshot.Document, s.Of)
	case "decisions":
		return x.decisionsTable(ctx, s)
	case "shards":
		return x.shardsTable(ctx, s.Of)
	default:
		return x.reportsTable(ctx)
	}
}

func (x *execution) showDocument(ctx context.Context, s *show) (Result, error) {
	v := x.Config.Current().Version
	if s.Arg != nil {
		n, err := strconv.ParseUint(s.Arg.Parts[0], 10, 32)
		if err != nil || len(s.Arg.Parts) > 1 {
			return Result{}, errorAt(x.Text, s.Arg.Pos, "not a version number").WithRemedy("name a version number, or none for the newest")
		}
		v = config.Version(n)
	}
	snapshot, err := x.Config.Load(ctx, v)
	if err != nil {
		return Result{}, err
	}
	return Result{Raw: []byte(snapshot.Body), RawType: typeYAML}, nil
}

func (x *execution) serversTable(ctx context.Context, d config.Document, service string) (*Table, error) {
	if x.Members == nil {
		return nil, missingComponent("members")
	}
	t := newTable("servers", text("id"), text("service"), text("region"), text("domain"), text("addr"), text("state"),
		boolean("drained"), integer("slots"), integer("inflight"), integer("queued"), duration("latency"), duration("age"), integer("config"))
	for _, s := range x.Members.Servers(ctx) {
		if service != "" && s.Service != service {
			continue
		}
		override := d.Services[s.Service].Servers[s.ID]
		if override.Slots > 0 {
			s.Slots = override.Slots
		}
		t.add(s.ID, s.Service, s.Region, s.Domain, s.Addr, s.State, override.Drained,
			s.Slots, s.InFlight, s.Queued, s.Latency, s.Age, uint64(s.Config))
	}
	return t, nil
}

func (x *execution) decisionsTable(ctx context.Context, s *show) (*Table, error) {
	if x.Decisions == nil {
		return nil, missingComponent("decisions")
	}
	t := decisionTable("decisions of this node")
	for _, d := range x.Decisions.Recent(ctx, s.rowLimit(defaultDecisions, maxDecisions)) {
		if s.Of == "" || d.Service == s.Of {
			addDecision(t, d)
		}
	}
	return t, nil
}

func decisionTable(title string) *Table {
	return newTable(title, instant("time"), text("request"), text("node"), text("service"), text("class"), text("tenant"),
		text("action"), text("chosen"), text("reason"), text("outcome"), duration("latency"))
}

func addDecision(t *Table, d Decision) {
	t.add(d.Time, d.Request, d.Node, d.Service, d.Class, d.Tenant, d.Action, d.Chosen, d.Reason, d.Outcome, d.Latency)
}

// ageCell returns the age of a load report, or nil if there was no report.
func ageCell(age time.Duration) any {
	if age < 0 {
		return nil
	}
	return age
}

func (x *execution) explain(ctx context.Context, e *explain) (Result, error) {
	if x.Decisions == nil {
		return Result{}, missingComponent("decisions")
	}
	decisions, unresponsive, err := x.Decisions.Explain(ctx, e.Request)
	if err != nil {
		return Result{}, err
	}
	if len(decisions) == 0 && len(unresponsive) == 0 {
		return Result{}, fault.New(fault.KindNotFound, "no node remembers request %q", e.Request).
			WithRemedy("check the ID; nodes keep their last 4,096 decisions")
	}
	steps := decisionTable("decisions about " + e.Request)
	servers := newTable("servers considered", integer("step"), text("server"), integer("own"), decimal("load"),
		duration("expected"), duration("age"), text("reason"))
	for i, d := range decisions {
		addDecision(steps, d)
		for _, c := range d.Considered {
			servers.add(i+1, c.Server, c.Own, c.Load, c.Expected, ageCell(c.Age), c.Reason)
		}
	}
	result := Result{Tables: []*Table{steps, servers}}
	for _, node := range unresponsive {
		result.note("node %s did not answer; its decisions are missing", node)
	}
	return result, nil
}

func (x *execution) shardsTable(ctx context.Context, service string) (*Table, error) {
	if x.Shards == nil {
		return nil, missingComponent("shards")
	}
	shards, err := x.Shards.Shards(ctx, service)
	t := newTable("shards", text("service"), integer("shard"), integer("epoch"), text("owner"), text("backup"), text("state"), integer("records"))
	for _, s := range shards {
		t.add(s.Service, s.Index, s.Epoch, s.Owner, s.Backup, s.State, s.Records)
	}
	return t, err
}

func (x *execution) reportsTable(ctx context.Context) (*Table, error) {
	if x.Objects == nil {
		return nil, missingComponent("object store")
	}
	infos, err := x.Objects.List(ctx, reportPrefix)
	t := newTable("reports", text("key"), integer("bytes"), text("etag"))
	for _, i := range infos {
		t.add(i.Key, i.Size, i.Tag)
	}
	return t, err
}
