package settings

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const valid = `node: {id: n1, region: poa, domain: a, first: true}
listen:
  caller: 127.0.0.1:8080
  peer: 127.0.0.1:7000
  announce: 127.0.0.1:8081
  operator: 127.0.0.1:8082
tls: {cert: node.pem, key: node.key, ca: ca.pem}
secret: 0123456789abcdef
`

// Guards against settings that are decoded wrongly, silently ignored, or accepted
// although they are out of range.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		add  string
		want []string
	}{
		"valid":            {},
		"unknown key":      {add: "sede: []", want: []string{"[9:1]", "unknown field"}},
		"bad duration":     {add: "notice: 2 parsecs", want: []string{"[9:9]", "is not a duration"}},
		"bad size":         {add: "body: 8 stones", want: []string{"[9:7]", "is not a size", "KB, MB or GB"}},
		"out of range":     {add: "notice: 2h", want: []string{"[9:9]", "notice", "at most 30s"}},
		"bad address":      {add: "seeds: [localhost]", want: []string{"[9:9]", "seeds[0]", "IP:port"}},
		"bad level":        {add: "log: {level: loud}", want: []string{"level"}},
		"short secret":     {add: "tokens: {secret: short}", want: []string{"secret"}},
		"not YAML":         {add: "a: [", want: []string{"[9:"}},
		"wrong type":       {add: "seeds: {a: b}", want: []string{"[9:8]"}},
		"size with unit":   {add: "body: 64KB"},
		"duration in unit": {add: "store: {timeout: 500ms}"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(valid + tc.add + "\n"))
			if tc.want == nil {
				assert.NilError(t, err)
				return
			}
			for _, part := range tc.want {
				assert.ErrorContains(t, err, part)
			}
			assert.ErrorContains(t, err, "docs/settings.md")
		})
	}
}

// Guards against settings that a node accepts but cannot work with: an announce
// address that other hosts can reach, or no way to find another node.
func TestParseRejectsUnusableSettings(t *testing.T) {
	cases := map[string]struct{ old, new, want string }{
		"open announce":     {"127.0.0.1:8081", "10.0.0.1:8081", `[5:13] listen.announce: "10.0.0.1:8081" is not allowed; write a loopback`},
		"any address":       {"127.0.0.1:8081", "0.0.0.0:8081", "[5:13] listen.announce"},
		"other loopback":    {"127.0.0.1:8081", `"[::1]:8081"`, ""},
		"mapped loopback":   {"127.0.0.1:8081", `"[::ffff:127.0.0.1]:8081"`, ""},
		"alone":             {", first: true", "", "[1:12] node: there is neither store.table nor seeds nor node.first"},
		"not first":         {"first: true", "first: false", "[1:47] node: there is neither"},
		"objects only":      {", first: true}", "}\nstore: {object: 'http://10.0.0.1:9'}", "[1:12] node: there is neither"},
		"empty seeds":       {", first: true}", "}\nseeds: []", "[2:8] node: there is neither"},
		"seeds, no store":   {", first: true}", "}\nseeds: ['10.0.0.2:7000']", ""},
		"store, no seeds":   {", first: true}", "}\nstore: {table: 'http://10.0.0.1:9'}", ""},
		"two such settings": {", first: true}\nlisten:\n  caller: 127.0.0.1", "}\nlisten:\n  caller: localhost", "[3:11] listen.caller"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(valid, tc.old, tc.new, 1)
			assert.Assert(t, text != valid)
			_, err := Parse([]byte(text))
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tc.want)
		})
	}
}

// Guards against a reference page that is out of date.
func TestReferenceIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Reference(), "run: go generate ./internal/settings")
}

// Guards against a panic or an endless loop on arbitrary settings text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(strings.Repeat("- [", 50)))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Parse(text) })
}
