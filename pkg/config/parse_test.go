package config_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against an invalid document that is accepted, that is rejected without
// line and column, and an empty text that would remove every service.
func TestParseErrorsGiveLineAndColumn(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown field":   {"services:\n  stock: {quue: 3}", `[2:11] unknown field "quue"`},
		"repeated field":  {"tenants:\n  a: {}\n  a: {}", `[3:3] mapping key "a" already defined`},
		"wrong type":      {"services:\n  stock:\n    queue: many", "[3:12] "},
		"range":           {"services:\n  stock:\n    # bound\n    queue: -1", "[4:5] services.stock.queue: -1 is not allowed; use at least 0"},
		"key with dots":   {"services:\n  s:\n    servers:\n      \"127.0.0.1:9\": {slots: -1}", "[4:23] services.s.servers.127.0.0.1:9.slots: -1"},
		"rule key":        {"services:\n  s:\n    rules:\n      GET /a: idempotent\n      get /a: idempotent", "[5:7] services.s.rules.get /a: "},
		"relation":        {"services:\n  s:\n    timeout: {default: 3s, longest: 2s}", "[3:15] services.s.timeout.default: 3s is over longest 2s"},
		"field left out":  {"services:\n  s:\n    timeout: {longest: 2s, default: 2500ms}\nbudgets:\n  server: {messages: 3}", "[5:3] budgets.server: messages and bytes"},
		"two mistakes":    {"tenants:\n  a: {weight: -1}\nclasses:\n  b: {priority: 16}", "[2:7] tenants.a.weight: -1 is not allowed; use at least 0\n[4:7] classes.b.priority: 16"},
		"not YAML":        {"services: {", "[1:11] "},
		"not a mapping":   {"services", "[1:1] "},
		"second document": {"tenants: {a: {}}\n---\ntenants: {b: {}}", "[3:8] a second document begins"},
		"empty":           {"# nothing\n", "[1:1] the document has no field"},
		"empty mapping":   {"{}", "[1:1] the document has no field"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse([]byte(tc.text))
			assert.ErrorContains(t, err, tc.want)
			assert.Assert(t, fault.Is(err, fault.KindBadRequest))
			assert.Assert(t, fault.As(err).Remedy != "")
		})
	}
	text, err := os.ReadFile("../../examples/uniao/configuration.yaml")
	assert.NilError(t, err)
	parsed, err := config.Parse(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, decode(t, string(text)))
}

// Guards against a panic on arbitrary text, and a text that Parse accepts but
// Decode rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("services: &a {s: {queue: -1}}\ntenants: *a"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := config.Parse(text); err == nil {
			_, err = config.Decode(text)
			assert.NilError(t, err)
		}
	})
}
