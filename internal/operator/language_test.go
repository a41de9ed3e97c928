package operator

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Guards against documented examples that do not parse, and verbs whose example is
// not in the documentation.
func TestDocumentedExamplesParse(t *testing.T) {
	doc, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	blocks := strings.Split(string(doc), "```command\n")[1:]
	examples := map[string]bool{}
	for _, block := range blocks {
		lines, _, _ := strings.Cut(block, "```")
		for line := range strings.Lines(lines) {
			line = strings.TrimSpace(line)
			examples[line] = true
			_, err := parse(line)
			assert.NilError(t, err, line)
		}
	}
	for _, v := range Verbs {
		assert.Assert(t, examples[v.Example], "%s has no example in docs/operators.md", v.Name)
	}
}

// Guards against parse errors without a column or a remedy.
func TestParseErrorsPointAtTheColumn(t *testing.T) {
	cases := map[string]struct {
		text, remedy string
		column       int
	}{
		"unknown verb":    {"shw servers", "begin with one of show, explain", 1},
		"unknown target":  {"show severs", "write show TARGET", 6},
		"missing equals":  {`set services.stock.queue 5 because "x"`, "write set PATH = VALUE", 26},
		"reason unquoted": {"undo 3 because slow", "write undo VERSION", 16},
		"not a number":    {`undo last because "x"`, "write undo VERSION", 6},
		"bad character":   {"show servers where region = poa; drop", "write show TARGET", 32},
		"empty":           {"", "begin with one of", 1},
		"cut short":       {"drain a of", "write drain SERVER of SERVICE", 11},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := parse(tc.text)
			assert.Assert(t, fault.Is(err, fault.KindBadRequest), "%v", err)
			lines := strings.Split(fault.As(err).Detail, "\n")
			assert.Assert(t, strings.HasPrefix(lines[0], "column "), "%v", err)
			assert.Equal(t, strings.Index(lines[2], "^")-1, tc.column, "%v", err)
			assert.Assert(t, strings.Contains(fault.As(err).Remedy, tc.remedy), "%v", err)
		})
	}
}
