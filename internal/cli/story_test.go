package cli

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

const (
	firstLog = `timestamp=2026-01-01T00:00:02Z level=warn message="request failed" id=a1 status=503
timestamp=2026-01-01T00:00:01Z level=debug message="not answered" id=a1 to=n2
timestamp=2026-01-01T00:00:01Z level=debug message=answered id=a11 to=n2
`
	secondLog = `timestamp=2026-01-01T00:00:03Z level=debug message=answered id=a1.9 to=n2
timestamp=2026-01-01T00:00:03Z level=warn message="log lines left out" lines=4
`
)

// Guards against output that includes lines of other requests, is not in the order of
// the timestamps, or does not mention that the logs lack lines.
func TestStory(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	assert.NilError(t, os.WriteFile(one, []byte(firstLog), 0o600))
	assert.NilError(t, os.WriteFile(two, []byte(secondLog), 0o600))
	for name, c := range map[string]struct {
		args  []string
		input string
		want  []string
		exit  subcommands.ExitStatus
	}{
		"two files":       {[]string{"a1", one, two}, "", []string{"not answered", "request failed", "left out"}, subcommands.ExitSuccess},
		"with calls":      {[]string{"-calls", "a1", one, two}, "", []string{"not answered", "request failed", "id=a1.9", "left out"}, subcommands.ExitSuccess},
		"standard input":  {[]string{"a1"}, firstLog, []string{"not answered", "request failed"}, subcommands.ExitSuccess},
		"unknown request": {[]string{"b", one}, "", []string{"no line names request b"}, subcommands.ExitFailure},
		"missing file":    {[]string{"a1", filepath.Join(dir, "none")}, "", nil, subcommands.ExitFailure},
		"missing ID":      {nil, "", nil, subcommands.ExitUsageError},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			command := &storyCommand{out: &out, in: strings.NewReader(c.input)}
			flags := flag.NewFlagSet("story", flag.ContinueOnError)
			command.SetFlags(flags)
			assert.NilError(t, flags.Parse(c.args))
			assert.Equal(t, command.Execute(t.Context(), flags), c.exit)
			lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
			if c.want == nil {
				assert.Equal(t, out.String(), "")
				return
			}
			assert.Equal(t, len(lines), len(c.want), out.String())
			for i, want := range c.want {
				assert.Assert(t, strings.Contains(lines[i], want), "line %d: %s", i, lines[i])
			}
		})
	}
}
