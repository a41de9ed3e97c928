package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// checkCommand validates settings files without starting anything.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings files without starting" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "vanillasail check FILE...\n\nPrints one line for each valid file, or errors with line, column and remedy.\n\nExample: vanillasail check examples/geadasul/node.yaml\n"
}

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if _, err := readSettings(path); err != nil {
			status = fail(fmt.Errorf("%s: %w", path, err))
			continue
		}
		fmt.Printf("%s: valid\n", path)
	}
	return status
}
