package cli

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/operator"
	standin "github.com/vanillasail/vanillasail/internal/standin/store"
	"github.com/vanillasail/vanillasail/internal/store"
	"github.com/vanillasail/vanillasail/internal/table"
	"github.com/vanillasail/vanillasail/pkg/config"
)

const secret = "a token secret of the command line tests"

// runCommand runs one command line and returns its exit code and output.
func runCommand(t *testing.T, input string, args ...string) (code int, out, errText string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	flags := flag.NewFlagSet("vanillasail", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	commander := subcommands.NewCommander(flags, "vanillasail")
	commander.Error = io.Discard
	for _, c := range operatorCommands(strings.NewReader(input), &stdout, &stderr) {
		commander.Register(c, "")
	}
	assert.NilError(t, flags.Parse(args))
	return int(commander.Execute(context.Background())), stdout.String(), stderr.String()
}

// startNode serves the operator API with a stand-in for the table, and sets the
// environment variables with its address and a token.
func startNode(t *testing.T) {
	t.Helper()
	var rows standin.Server
	assert.NilError(t, rows.Start("127.0.0.1:0"))
	t.Cleanup(func() { _ = rows.Stop(context.Background()) })
	key, err := operator.SecretKey("settings", []byte(secret))
	assert.NilError(t, err)
	server := httptest.NewServer(&operator.Handler{
		Keys: func() operator.Keys { return operator.Keys{key} },
		Console: &operator.Console{
			Config: &config.Manager{Store: table.ConfigRows{Client: table.Client{Endpoint: store.Endpoint{Base: rows.URL()}}}},
			Log:    &log.Logger{Handler: discard.New()},
		},
	})
	t.Cleanup(server.Close)
	t.Setenv(envSecret, secret)
	_, token, _ := runCommand(t, "", "token", "ana")
	t.Setenv(envToken, strings.TrimSpace(token))
	t.Setenv(envNodes, "127.0.0.1:1, "+strings.TrimPrefix(server.URL, "http://"))
}

// Guards against commands that are altered on the way to the node, hide an error, or
// return the wrong exit code.
func TestCommandsEndToEnd(t *testing.T) {
	startNode(t)
	settings := filepath.Join(t.TempDir(), "node.yaml")
	assert.NilError(t, os.WriteFile(settings, []byte("node: {}\n"), 0o600))
	const example, wrong = "../../examples/geadasul/configuration.yaml", "testdata/wrong.yaml"
	steps := []struct {
		args  string // separated by |
		input string
		code  int
		want  string
	}{
		{args: `create|service stock with queue = 32 because "new stock lookups"`, want: "new stock lookups"},
		{args: `set|services.stock.queue|=|64|because|trucks wait for "slots"`, want: `trucks wait for "slots"`},
		{args: `show|config|services.stock.queue`, want: "64"},
		{args: `show|config|services.stock.queue|--output|json`, want: `"rows":[["services.stock.queue",`},
		{args: `show|-output|yaml|config`, code: 2, want: "use table or json"},
		{args: `set|services.stock.queue = 1 on 1 because "late"`, code: 3, want: "conflict"},
		{args: `set|services.stock.queue|=|1`, code: 2, want: "no reason"},
		{args: `explain|4f2a`, code: 1, want: "this node has no decisions"},
		{args: `show|-nodes|127.0.0.1:1|config`, code: 4, want: "name another node"},
		{args: `show|-token|x|config`, code: 1, want: "token"},
		{args: `undo|2|because|slow|dry|run`, want: "dry run: nothing was changed"},
		{args: `apply|` + example + `|--dry-run`, want: "services.stock.queue    64      48"},
		{args: `apply|` + example, code: 2, want: "the change has no reason"},
		{args: `apply|` + example + `|--base|1|--reason|late`, code: 3, want: `conflict: version 2 was already made by ana: "trucks wait for \"slots\""`},
		{args: `apply|` + example + `|--reason|stock and "dispatch"`, want: `stock and "dispatch"`},
		{args: `apply|` + example + `|because|again`, want: "version 3 says this already; nothing was changed"},
		{args: `apply|"` + example + `" because "again"`, want: "version 3 says this already"},
		{args: `apply|-base|x|` + example, code: 2, want: "list the versions with show versions"},
		{args: `apply|` + wrong + `|--dry-run`, code: 2, want: wrong + `: configuration: [3:5] unknown field "quue"; correct or remove`},
		{args: `apply|none.yaml|--dry-run`, code: 2, want: "no such file or directory; name a readable YAML file"},
		{args: `apply`, code: 2, want: "write apply FILE"},
		{args: `shell`, input: `apply "` + example + "\" because \"again\"\n", want: "version 3 says this already"},
		{args: `watch|-every|100ms|-count|2|show|versions`, want: "versions\n"},
		{args: `watch|set|services.stock.queue = 1 because "x"`, code: 2, want: "only queries"},
		{args: `shell`, input: "show versions limit 1\nshow nothing\nexit\n", want: "write show TARGET"},
		{args: `token|-role|admin|ana`, code: 2, want: "viewer or operator"},
		{args: `token|-settings|` + settings + `|ana`, code: 1, want: "settings are not valid"},
		{args: `token`, code: 2, want: "token NAME"},
	}
	for _, s := range steps {
		code, out, errText := runCommand(t, s.input, strings.Split(s.args, "|")...)
		assert.Equal(t, code, s.code, "%s\n%s%s", s.args, out, errText)
		assert.Assert(t, strings.Contains(out+errText, s.want), "%s: %q is missing in\n%s%s", s.args, s.want, out, errText)
	}
}

// Guards against a help text without an example, and against shell arguments that are
// joined into a command with another meaning.
func TestCommandText(t *testing.T) {
	for _, c := range operatorCommands(nil, io.Discard, io.Discard) {
		assert.Assert(t, strings.Contains(c.Usage(), "Example: vanillasail "+c.Name()), c.Name())
	}
	cases := map[string]struct {
		words []string
		want  string
	}{
		"one argument":    {[]string{`servers of stock where region = poa`}, `x servers of stock where region = poa`},
		"many arguments":  {[]string{"servers", "of", "stock"}, "x servers of stock"},
		"reason":          {[]string{"12", "because", "p99 doubled"}, `x 12 because "p99 doubled"`},
		"one-word reason": {[]string{"12", "because", "slow"}, `x 12 because "slow"`},
		"quoted reason":   {[]string{"12", "because", `"slow"`}, `x 12 because "slow"`},
		"condition":       {[]string{"servers", "where", "queued > 3"}, "x servers where queued > 3"},
		"quoted path":     {[]string{`services.a.rules."GET /x y"`, "=", "idempotent"}, `x services.a.rules."GET /x y" = idempotent`},
		"spaced value":    {[]string{"a.b", "=", "two words"}, `x a.b = "two words"`},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, commandText("x", tc.words), tc.want) })
	}
}
