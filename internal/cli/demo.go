package cli

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/demo"
)

// demoCommand runs nodes, stand-ins and callers in one process.
type demoCommand struct {
	options demo.Options
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run nodes, stand-ins and callers in one process" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return "vanillasail demo [-nodes N] [-callers N] [-time DURATION]\n\nPrints progress, then latencies by class, refusals and the invariants checked.\nExits with 1 when an invariant was violated.\n\nExample: vanillasail demo -nodes 6 -time 20s\n"
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.options.Nodes, "nodes", 6, "number of nodes, each with a backend server")
	f.IntVar(&c.options.Callers, "callers", 24, "number of concurrent callers")
	f.DurationVar(&c.options.Time, "time", 12*time.Second, "how long callers send requests")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Out = os.Stdout
	held, err := demo.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	if !held {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
