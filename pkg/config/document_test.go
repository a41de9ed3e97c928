package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const sample = `
services:
  stock:
    rules: {POST: idempotent, POST /stock/reserve: non-idempotent, /stock/count/: non-idempotent}
    retry: {limit: 0}
    queue: 32
    timeout: {default: 800ms, longest: 2s}
    servers: {node-1: {drained: true}, "127.0.0.1:9": {slots: 8}}
budgets:
  links: {poa: {cwb: {messages: 0, bytes: 0}}}
tenants: {geada: {weight: 3}}
classes: {dispatch: {priority: 0}, lookup: {priority: 2}}
`

func decode(t testing.TB, body string) config.Document {
	t.Helper()
	d, err := config.Decode([]byte(body))
	assert.NilError(t, err)
	return d
}

// Guards against fields of the YAML text that have no effect.
func TestDocumentRules(t *testing.T) {
	d := decode(t, sample)
	s := d.Services["stock"]
	assert.Assert(t, s.Idempotent("POST", "/stock/reservations"))
	assert.Assert(t, !s.Idempotent("POST", "/stock/reserve/7"))
	assert.Assert(t, !s.Idempotent("GET", "/stock/count/3"))
	assert.Assert(t, s.Idempotent("GET", "/stock"))
	assert.Assert(t, !s.Idempotent("PATCH", "/stock"))
	limit, ratio := s.RetryLimit()
	assert.Equal(t, limit, 0)
	assert.Equal(t, ratio, config.DefaultRetryRatio)
	defaultTimeout, longest := s.Timeouts()
	assert.Equal(t, defaultTimeout, 800*time.Millisecond)
	assert.Equal(t, longest, 2*time.Second)
	assert.Equal(t, d.LinkBudget("poa", "cwb"), config.Budget{})
	assert.Equal(t, d.LinkBudget("cwb", "poa"), config.DefaultLinkBudget)
	assert.Equal(t, d.TenantWeight("geada"), 3)
	assert.Equal(t, d.TenantWeight("other"), 1)
	body, err := d.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, decode(t, string(body)), d)
}

// Guards against invalid documents that are accepted, or rejected without a field
// name and a remedy.
func TestDecodeRejectsInvalidDocuments(t *testing.T) {
	cases := map[string]struct{ body, want string }{
		"unknown field":  {"services: {stock: {quue: 3}}", `unknown field "quue"`},
		"repeated field": {"tenants: {a: {weight: 1}, a: {weight: 2}}", `"a" already defined`},
		"wrong type":     {"services: {stock: {queue: many}}", "into Go struct field"},
		"range":          {"services: {stock: {queue: -1}}", "services.stock.queue: -1 is not allowed; use at least 0"},
		"duration":       {"services: {s: {timeout: {longest: 31s}}}", "services.s.timeout.longest: 31s is not allowed; use at most 30s"},
		"relation":       {"services: {s: {timeout: {default: 3s, longest: 2s}}}", "services.s.timeout.default: 3s is over longest 2s; lower it"},
		"rule key":       {"services: {s: {rules: {post: idempotent}}}", `services.s.rules.post: post is not allowed; name it "METHOD"`},
		"rule value":     {"services: {s: {rules: {POST: once}}}", "services.s.rules.POST: once is not allowed; use idempotent or"},
		"name":           {"tenants: {A B: {}}", "tenants.A B: A B is not allowed; use up to 63 lower-case"},
		"half a budget":  {"budgets: {server: {messages: 3, bytes: 0}}", "budgets.server: messages and bytes must both"},
		"link to itself": {"budgets: {links: {poa: {poa: {messages: 1, bytes: 9}}}}", "budgets.links.poa.poa: a link joins two regions"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.Decode([]byte(tc.body))
			assert.ErrorContains(t, err, tc.want)
			assert.Assert(t, fault.Is(err, fault.KindBadRequest))
			assert.Assert(t, fault.As(err).Remedy != "")
		})
	}
	_, err := config.DecodeAccepted([]byte("services: {stock: {newer: 1}}"))
	assert.NilError(t, err, "an older node must apply a newer version")
}

// Guards against a change of one field that modifies another field or the
// original document.
func TestFieldsAndDiff(t *testing.T) {
	d := decode(t, sample)
	path := config.Path{"services", "stock", "servers", "127.0.0.1:9", "slots"}
	assert.Equal(t, path.String(), `services.stock.servers."127.0.0.1:9".slots`)
	changed, err := d.WithField(path, 9)
	assert.NilError(t, err)
	differences := config.Diff(d, changed)
	assert.Equal(t, len(differences), 1)
	assert.Equal(t, differences[0].String(), path.String()+": 8 -> 9")
	removed, err := changed.WithoutField(config.Path{"services", "stock"})
	assert.NilError(t, err)
	assert.Equal(t, len(removed.Services), 0)
	assert.Equal(t, changed.Services["stock"].Servers["127.0.0.1:9"].Slots, 9)
	assert.DeepEqual(t, d, decode(t, sample))
	_, err = d.WithField(config.Path{"services", "stock", "quue"}, 1)
	assert.ErrorContains(t, err, `services.stock.quue: unknown field "quue"`)
	_, err = d.WithoutField(config.Path{"services", "none"})
	assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
}
