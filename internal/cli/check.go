package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/settings"
)

// checkCommand validates settings files without starting a node.
type checkCommand struct {
	// root is prepended to the paths of PEM files.
	root string
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check settings files without starting" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "vanillasail check [-root DIR] FILE...\n\nPrints one line for each valid file, or errors with line, column and remedy.\nReads the PEM files too, as the node would: run it on the node's host, or pass\n-root with a directory that holds the files of that host.\n\nExample: vanillasail check -root staging/poa-a-7 examples/geadasul/poa.yaml\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.root, "root", "", "directory to prepend to the paths of PEM files (default: none)")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, path := range f.Args() {
		if err := c.check(path); err != nil {
			status = fail(fmt.Errorf("%s: %w", path, err))
			continue
		}
		fmt.Printf("%s: valid\n", path)
	}
	return status
}

func (c *checkCommand) check(path string) error {
	s, text, err := readSettingsText(path)
	if err != nil {
		return err
	}
	return settings.CheckFiles(text, s.TLS, c.root)
}
