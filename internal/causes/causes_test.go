package causes

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const failures = `timestamp=2026-01-01T00:00:01Z level=warn message="request failed" cause="node n7 is out" id=a kind=unreachable outcome=unknown route=look service=stock status=502
timestamp=2026-01-01T00:00:03Z level=warn message="request failed" cause="node n12 is out" id=b kind=unreachable outcome=unknown route=look service=stock status=502
timestamp=2026-01-01T00:00:02Z level=warn message="request failed" cause="the server \"s 1\" is full" id=c kind=overloaded outcome=refused route=order service=stock status=503
timestamp=2026-01-01T00:00:02Z level=debug message="not answered" id=c outcome=overloaded
timestamp=2026-01-01T00:00:04Z level=warn message="log lines left out" lines=4
timestamp=soon level=warn message="request failed" cause="node n1 is out" id=d kind=unreachable outcome=unknown route=look service=stock status=502
`

func summarize(text string) *Summary {
	var c Summary
	for line := range strings.Lines(text) {
		c.Add(strings.TrimSuffix(line, "\n"))
	}
	return &c
}

// Guards against failures with the same cause that are counted separately because of
// the names in their messages, and against summaries without the number of reports of
// dropped lines.
func TestCauses(t *testing.T) {
	c := summarize(failures)
	assert.DeepEqual(t, c.Groups(), []Group{
		{Count: 3, Service: "stock", Route: "look", Kind: "unreachable", Status: "502", Outcome: "unknown", Cause: "node * is out", First: "2026-01-01T00:00:01Z", Last: "soon", Example: "a"},
		{Count: 1, Service: "stock", Route: "order", Kind: "overloaded", Status: "503", Outcome: "refused", Cause: "the server * is full", First: "2026-01-01T00:00:02Z", Last: "2026-01-01T00:00:02Z", Example: "c"},
	})
	assert.Equal(t, c.DropReports, 1)
	assert.Equal(t, c.InvalidTimes, 1)
}

// Guards against output that omits causes, or that fails if there are none.
func TestCausesAreWritten(t *testing.T) {
	for name, c := range map[string]struct {
		log   string
		write func(c *Summary, out *strings.Builder) error
		want  []string
	}{
		"table":       {failures, func(c *Summary, out *strings.Builder) error { return c.WriteTable(out) }, []string{"3 ", "node * is out", "left out", "1 failures have no time"}},
		"JSON":        {failures, func(c *Summary, out *strings.Builder) error { return c.WriteJSON(out) }, []string{`"count": 3`, `"example": "a"`}},
		"plot":        {failures, func(c *Summary, out *strings.Builder) error { return c.WritePlot(out) }, []string{"<svg", "unreachable", "overloaded"}},
		"empty table": {"", func(c *Summary, out *strings.Builder) error { return c.WriteTable(out) }, []string{"count"}},
		"empty JSON":  {"", func(c *Summary, out *strings.Builder) error { return c.WriteJSON(out) }, []string{"[]"}},
		"empty plot":  {"", func(c *Summary, out *strings.Builder) error { return c.WritePlot(out) }, []string{"<svg"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			assert.NilError(t, c.write(summarize(c.log), &out))
			for _, want := range c.want {
				assert.Assert(t, strings.Contains(out.String(), want), out.String())
			}
		})
	}
}
