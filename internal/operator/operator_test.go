package operator_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/object"
	"github.com/vanillasail/vanillasail/internal/operator"
	standin "github.com/vanillasail/vanillasail/internal/standin/store"
	"github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/config"
)

// fixture runs two nodes' consoles, reached over HTTP, on one stand-in of the
// store.
type fixture struct {
	store  *standin.Server
	key    operator.Key
	public string
	now    time.Time
	nodes  []string
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	private, public, err := operator.GenerateKey("EdDSA")
	assert.NilError(t, err)
	key, err := operator.ParseKey("k1", "EdDSA", private)
	assert.NilError(t, err)
	trusted, err := operator.ParseKey("k1", "EdDSA", public)
	assert.NilError(t, err)
	f := &fixture{store: &standin.Server{}, key: key, public: public, now: time.Unix(1_800_000_000, 0)}
	assert.NilError(t, f.store.Start("127.0.0.1:0"))
	t.Cleanup(func() { assert.NilError(t, f.store.Stop(context.Background())) })
	endpoint := store.Endpoint{Base: f.store.URL()}
	for range 2 {
		handler := &operator.Handler{
			Keys: func() operator.Keys { return operator.Keys{trusted} },
			Console: &operator.Console{
				Config:  &config.Manager{Store: table.ConfigRows{Client: table.Client{Endpoint: endpoint}}},
				Objects: object.Client{Endpoint: endpoint}, Members: fakeComponents{}, Decisions: fakeComponents{}, Shards: fakeComponents{}, Reports: fakeComponents{},
				Now: func() time.Time { return f.now }, Log: &log.Logger{Handler: discard.New()},
			},
		}
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		f.nodes = append(f.nodes, server.URL)
	}
	return f
}

func (f *fixture) client(t *testing.T, role operator.Role) operator.Client {
	t.Helper()
	token, err := f.key.Sign(operator.Identity{Name: "ana", Role: role}, f.now, time.Hour)
	assert.NilError(t, err)
	return operator.Client{Nodes: f.nodes, Token: token}
}

// fakeComponents replaces the other components of a node.
type fakeComponents struct{}

func (fakeComponents) Servers(context.Context) []operator.Server {
	return []operator.Server{
		{ID: "poa-1", Service: "stock", Region: "poa", State: operator.StateAlive, Slots: 12, Queued: 4, Latency: 3 * time.Millisecond},
		{ID: "cwb-1", Service: "stock", Region: "cwb", State: operator.StateAlive, Slots: 12, Latency: 30 * time.Millisecond},
	}
}

func (fakeComponents) Recent(context.Context, int) []operator.Decision { return nil }

func (fakeComponents) Explain(_ context.Context, id string) ([]operator.Decision, []string, error) {
	considered := []operator.Candidate{{Server: "poa-1", Own: 7, Load: 1.5, Reason: "best score"}}
	return []operator.Decision{{Request: id, Action: "place", Chosen: "poa-1", Considered: considered}}, []string{"cwb-9"}, nil
}

func (fakeComponents) Shards(context.Context, string) ([]operator.Shard, error) { return nil, nil }

func (fakeComponents) Reset(_ context.Context, _ string, _ int, info operator.AuditInfo) error {
	if info.Author != "ana" || info.Reason == "" || info.ID == "" {
		return errors.New("author, reason or ID is missing")
	}
	return nil
}

func (fakeComponents) Measure(context.Context, config.Version) (before, after operator.Window, unresponsive []string, err error) {
	label := operator.Label{Service: "stock", Class: "lookup", Tenant: "geada"}
	window := func(scale int64) operator.Window {
		h := hdrhistogram.New(1, 60_000_000, 3)
		for i := range int64(1000) {
			_ = h.RecordValue((i + 1) * scale)
		}
		from := time.Unix(1_800_000_000, 0)
		return operator.Window{
			From: from, To: from.Add(10 * time.Second),
			Latency:  []operator.Latency{{Label: label, Histogram: h}},
			Links:    []operator.LinkBytes{{From: "poa", To: "cwb", Bytes: 5000 * scale}},
			Refusals: []operator.Refusals{{Label: label, Reason: "overloaded", Count: scale}},
		}
	}
	return window(1), window(2), []string{"cwb-9"}, nil
}

// Guards against commands that do not change the configuration as documented, and
// dry runs that do.
func TestCommandsOverHTTP(t *testing.T) {
	c := startFixture(t).client(t, operator.RoleOperator)
	steps := []struct{ command, want string }{
		{`create service stock with queue = 32, retry.limit = 1 because "new"`, "1        ana     2027-01-15T08:00:00Z  new"},
		{`create service stock because "again"`, `column 8: service "stock" exists already`},
		{`set services.stock.queue = 64 because "bigger" dry run`, "services.stock.queue  32      64\n\ndry run: nothing was changed"},
		{`set services.stock.queue = 64`, `the change has no reason; end the command with because "REASON"`},
		{`set services.stock.queue = 64, services.stock.quue = 3 because "x"`, `column 32: services.stock.quue: unknown field "quue"`},
		{`set services.stock.queue = -1 because "x"`, "column 5: configuration: services.stock.queue: -1 is not allowed; use at least 0"},
		{`set services.stock.timeout.longest = 2s, services.stock.timeout.default = 1s because "short"`, "accepted\n"},
		{`set services.stock.timeout.longest = 2s because "again"`, "version 2 says this already; nothing was changed"},
		{`drain poa-9 of stock because "x"`, `column 7: no server "poa-9" of service "stock"`},
		{`drain poa-1 of stock because "repair"`, "{poa-1: {drained: true}}"},
		{`drain cwb-1 of stock because "repair"`, "warning: this node knows no other server of stock"},
		{`show servers of stock where drained = true and latency < 10ms`, "poa-1  stock"},
		{`show servers where colour = red`, "column 20: no column \"colour\""},
		{`show servers where queued > many`, "; compare queued with an integer such as 3"},
		{`undo 3 because "repaired"`, "conflict: services.stock.servers was changed again"},
		{`undo 4 because "repaired"`, "services.stock.servers.cwb-1"},
		{`set services.stock.queue = 1 on 2 because "late"`, `conflict: version 3 was already made by ana: "repair"`},
		{`show versions limit 1`, "5        ana"},
		{`diff 1 2`, "services.stock.timeout  -       {default: 1s, longest: 2s}"},
		{`show config services.stock.timeout`, "services.stock.timeout.longest  2s"},
		{`show document 1`, "queue: 32"},
		{`explain 4f2a`, "node cwb-9 did not answer"},
		{`reset shard 3 of stock because "both gone"`, "shard 3 of stock has a new owner and backup"},
	}
	for _, s := range steps {
		got, err := c.Run(t.Context(), s.command)
		if err != nil {
			got = err.Error()
		}
		assert.Assert(t, strings.Contains(got, s.want), "%s\n%s", s.command, got)
	}
	var out strings.Builder
	assert.NilError(t, c.Shell(t.Context(), strings.NewReader("show tenants\nshow severs\nexit\nshow config"), &out))
	assert.Assert(t, strings.Contains(out.String(), "(none)\n> error: bad-request: column 6"), out.String())
}

// Guards against a document that is applied in part, on another version than its
// base or by a viewer, and one that creates a version although nothing changes.
func TestApplyOverHTTP(t *testing.T) {
	f := startFixture(t)
	c, viewer := f.client(t, operator.RoleOperator), f.client(t, operator.RoleViewer)
	const first = "services:\n  stock: {queue: 32}\ntenants: {geada: {}}\n"
	steps := []struct {
		client        operator.Client
		command, want string
	}{
		{viewer, "apply dry run\n" + first, "services.stock  -       {queue: 32}\ntenants.geada   -       {}\n\ndry run: nothing was changed"},
		{viewer, `apply because "first"` + "\n" + first, "forbidden"},
		{c, `apply because "first"` + "\r\n" + first, "1        ana"},
		{c, `apply because "again"` + "\n" + first, "version 1 says this already; nothing was changed"},
		{c, `apply because "second"` + "\n" + "services:\n  stock: {queue: 16}", "tenants.geada         {}      -"},
		{c, `apply on 1 because "late"` + "\n" + first, `conflict: version 2 was already made by ana: "second"`},
		{c, `apply on 9 because "early"` + "\n" + first, "version 9 does not exist"},
		{c, "apply\n" + first, "the change has no reason"},
		{c, `apply f.yaml because "x"` + "\nservices:\n  stock: {queue: -1}", "f.yaml: configuration: [2:11] services.stock.queue: -1 is not allowed; use at least 0"},
		{c, `apply because "x"`, "no document follows the command"},
		{c, `apply becuase "x"` + "\n" + first, "column 15: unexpected token"},
		{c, `apply because "x"` + "\n" + strings.Repeat("#", config.MaxBody+1), "too-large"},
		{c, `set tenants.a.weight = 1 because "` + strings.Repeat("x", 64<<10), "too-large"},
		{c, "show versions limit 1", "2        ana"},
	}
	for _, s := range steps {
		got, err := s.client.Run(t.Context(), s.command)
		if err != nil {
			got = err.Error()
		}
		assert.Assert(t, strings.Contains(got, s.want), "%.99s\n%s", s.command, got)
	}
}

// dropReply drops the reply of the first POST after the server has handled it.
type dropReply struct{ dropped bool }

func (d *dropReply) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost && !d.dropped {
		d.dropped = true
		_ = resp.Body.Close()
		return nil, errors.New("connection reset")
	}
	return resp, err
}

// Guards against a change that is applied twice because the reply of a node or of
// the store was lost, and against two accepted changes on one base.
func TestChangeIsAcceptedOnce(t *testing.T) {
	f := startFixture(t)
	c := f.client(t, operator.RoleOperator)
	f.store.Table.SetFault(standin.Fault{Lose: 1})
	drop := &dropReply{}
	c.HTTP = &http.Client{Transport: drop}
	got, err := c.Run(t.Context(), `create tenant geada because "contract"`)
	assert.NilError(t, err)
	assert.Assert(t, drop.dropped && f.store.Table.Counts().Faults["lost"] == 1)
	assert.Assert(t, strings.Contains(got, "contract"), got)

	// The retry goes to the same node, which has already applied the undo.
	drop.dropped, c.Nodes = false, []string{f.nodes[0], f.nodes[0]}
	got, err = c.Run(t.Context(), `undo 1 because "mistake"`)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got, "2        ana"), got)
	// The other node lags behind by one version and must fetch it before the undo.
	c.Nodes = []string{f.nodes[1]}
	got, err = c.Run(t.Context(), `undo 2 on 2 because "not a mistake"`)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(got, "tenants.geada  -       {}"), got)
	for _, node := range f.nodes {
		c.Nodes = []string{node}
		versions, err := c.Run(t.Context(), "show versions where reason = contract")
		assert.NilError(t, err)
		assert.Equal(t, strings.Count(versions, "contract"), 1, versions)
	}
	_, err = c.Run(t.Context(), `create tenant union on 0 because "late"`)
	assert.Equal(t, operator.ExitCode(err), 3, "%v", err)

	f.store.Table.SetFault(standin.Fault{Down: true})
	_, err = c.Run(t.Context(), `create tenant union because "during an outage"`)
	assert.Equal(t, operator.ExitCode(err), 4)
	assert.ErrorContains(t, err, "nothing was changed")
	_, err = c.Run(t.Context(), "show tenants")
	assert.NilError(t, err)
}

// Guards against changes without the operator role, and against tokens that are
// expired, unsigned, or signed with HS256 and the public key as the secret.
func TestTokensAndRoles(t *testing.T) {
	f := startFixture(t)
	viewer := f.client(t, operator.RoleViewer)
	_, err := viewer.Run(t.Context(), `create tenant geada because "x"`)
	assert.ErrorContains(t, err, "forbidden")
	_, err = viewer.Run(t.Context(), `create tenant geada because "x" dry run`)
	assert.NilError(t, err)

	identity := operator.Identity{Name: "ana", Role: operator.RoleOperator}
	old, err := f.key.Sign(identity, f.now.Add(-2*time.Hour), time.Hour)
	assert.NilError(t, err)
	secret, err := operator.ParseKey("k1", "HS256", f.public)
	assert.NilError(t, err)
	forged, err := secret.Sign(identity, f.now, time.Hour)
	assert.NilError(t, err)
	unsigned := "eyJhbGciOiJub25lIiwia2lkIjoiazEifQ." + strings.Split(forged, ".")[1] + "."
	for name, token := range map[string]string{"expired": old, "other algorithm": forged, "unsigned": unsigned, "none": ""} {
		_, err := operator.Client{Nodes: f.nodes, Token: token}.Run(t.Context(), "show tenants")
		assert.ErrorContains(t, err, "forbidden: ", name)
	}
	_, err = operator.ParseKey("k2", "HS256", base64.StdEncoding.EncodeToString(make([]byte, 31)))
	assert.ErrorContains(t, err, "at least 32 bytes")
}

// Guards against reports without figures, and against storage failures that are
// not reported.
func TestReports(t *testing.T) {
	f := startFixture(t)
	c := f.client(t, operator.RoleOperator)
	run := func(command string) string {
		got, err := c.Run(t.Context(), command)
		assert.NilError(t, err, command)
		return got
	}
	run(`create service stock because "new"`)
	text := run("report 1")
	for _, want := range []string{"P99 AFTER/BEFORE", "990µs       1.98ms", "poa   cwb  500     1000", "overloaded  0.1     0.2", "kept as report/1/report.*"} {
		assert.Assert(t, strings.Contains(text, want), "%s\n%s", want, text)
	}
	assert.Equal(t, strings.Count(run("show reports"), "report/1/report."), 3)
	svg := run("show report 1 as svg")
	assert.Assert(t, strings.Contains(svg, "<svg") && strings.Contains(svg, "Measuring by link"))
	var result operator.Result
	assert.NilError(t, json.Unmarshal([]byte(run("show report 1 as json")), &result))
	assert.Equal(t, len(result.Tables), 6)

	f.store.Object.SetFault(standin.Fault{Down: true})
	_, err := c.Run(t.Context(), "report 1")
	assert.Equal(t, operator.ExitCode(err), 4)
	assert.ErrorContains(t, err, "the object store is not available, so the report of version 1 was not kept")
	assert.Assert(t, f.store.Object.Counts().Faults["down"] > 0)
	assert.Assert(t, strings.Contains(run("report 1 unsaved"), "P99 AFTER/BEFORE"))
}
