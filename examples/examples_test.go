package examples

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/internal/cli"
	"github.com/vanillasail/vanillasail/internal/settings"
	"github.com/vanillasail/vanillasail/pkg/config"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillasail": func() { os.Exit(cli.Main()) },
	})
}

// deployments lists the regions of each example, which has a settings file per region
// and a configuration.yaml.
var deployments = map[string][]string{
	"geadasul": {"poa", "cwb", "fln"},
	"uniao":    {"tunis", "sfax", "sousse"},
}

// Guards against examples that the check command of this version rejects. The PEM
// files that they refer to are created by the keys command.
func TestSettings(t *testing.T) {
	files, err := filepath.Glob("*/*.yaml")
	assert.NilError(t, err)
	var checked []string
	for _, file := range files {
		if filepath.Base(file) == "configuration.yaml" {
			continue
		}
		full, err := filepath.Abs(file)
		assert.NilError(t, err)
		checked = append(checked, full)
	}
	assert.Equal(t, len(checked), 6)
	testscript.Run(t, testscript.Params{
		Files: []string{"testdata/check.txtar"},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"check": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Check(ts.Exec("vanillasail", append([]string{"check"}, append(args, checked...)...)...))
			},
		},
	})
}

// Guards against settings with a region other than that of their file name, and
// against nodes with the same ID or address.
func TestSettingsMatchTheirRegion(t *testing.T) {
	for name, regions := range deployments {
		t.Run(name, func(t *testing.T) {
			seen := make(map[string]bool)
			for _, region := range regions {
				text, err := os.ReadFile(filepath.Join(name, region+".yaml"))
				assert.NilError(t, err)
				s, err := settings.Parse(text)
				assert.NilError(t, err)
				assert.Equal(t, s.Node.Region, region)
				assert.Assert(t, !seen[s.Node.ID] && !seen[s.Listen.Peer], "%s is not unique", s.Node.ID)
				seen[s.Node.ID], seen[s.Listen.Peer] = true, true
				assert.Equal(t, len(s.Seeds), len(regions)-1)
			}
		})
	}
}

// Guards against orders that may run twice because the example does not mark them as
// non-idempotent, and against lookups that are not retried.
func TestConfigurations(t *testing.T) {
	cases := map[string]struct {
		deployment, service, method, path string
		idempotent                        bool
	}{
		"reservation":        {"geadasul", "stock", "PUT", "/stock/reservations/7", false},
		"stock lookup":       {"geadasul", "stock", "GET", "/stock/items/7", true},
		"lookup with a body": {"geadasul", "stock", "POST", "/stock/lookups", true},
		"release":            {"geadasul", "dispatch", "POST", "/dispatch/releases", false},
		"order":              {"uniao", "orders", "PUT", "/orders/orders/7", false},
		"stock check":        {"uniao", "orders", "POST", "/orders/checks", true},
		"quota transfer":     {"uniao", "ledger", "PUT", "/ledger/quota-transfers/7", false},
		"price lookup":       {"uniao", "ledger", "GET", "/ledger/prices/7", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(tc.deployment, "configuration.yaml"))
			assert.NilError(t, err)
			document, err := config.Decode(text)
			assert.NilError(t, err)
			s, ok := document.Services[tc.service]
			assert.Assert(t, ok, "no service %s", tc.service)
			assert.Equal(t, s.Idempotent(tc.method, tc.path), tc.idempotent)
			assert.Assert(t, len(document.Tenants) > 0 && len(document.Classes) > 0)
			assert.Assert(t, document.Budgets.Server != nil && document.Budgets.Link != nil)
		})
	}
}
