package cli

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

// Guards against a command that does not read its input, or that prints a table if
// the output format is unknown.
func TestCausesCommand(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		want string
		exit subcommands.ExitStatus
	}{
		"input":          {nil, "a1", subcommands.ExitSuccess},
		"JSON":           {[]string{"-output", "json"}, `"example": "a1"`, subcommands.ExitSuccess},
		"plot":           {[]string{"-output", "svg"}, "<svg", subcommands.ExitSuccess},
		"unknown output": {[]string{"-output", "pdf"}, "", subcommands.ExitUsageError},
		"no file":        {[]string{filepath.Join(t.TempDir(), "none")}, "", subcommands.ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			command := &causesCommand{out: &out, in: strings.NewReader(firstLog)}
			flags := flag.NewFlagSet("causes", flag.ContinueOnError)
			command.SetFlags(flags)
			assert.NilError(t, flags.Parse(c.args))
			assert.Equal(t, command.Execute(t.Context(), flags), c.exit)
			assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
		})
	}
}
