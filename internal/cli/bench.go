package cli

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/demo"
)

// benchCommand measures the latency that nodes add to requests.
type benchCommand struct {
	options demo.BenchOptions
	output  string
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "measure the latency that nodes add" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return "vanillasail bench [-nodes N] [-rate N] [-time DURATION] [-depth N] [-output table|json]\n\nSends the same request straight to a backend server, through a node, and through\na chain of calls, in turn and in one process on loopback.\n\nExample: vanillasail bench -rate 500 -time 20s\n"
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.options.Nodes, "nodes", 4, "number of nodes, each with a backend server")
	f.IntVar(&c.options.Rate, "rate", 100, "requests per second on each of the three paths")
	f.IntVar(&c.options.Depth, "depth", 10, "number of calls in a chain")
	f.DurationVar(&c.options.Time, "time", 10*time.Second, "how long to measure")
	f.StringVar(&c.output, "output", "table", "table or json")
}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.options.Rate < 1 || c.options.Depth < 1 || c.options.Nodes < 1 {
		return subcommands.ExitUsageError
	}
	c.options.JSON, c.options.Out = c.output == "json", os.Stdout
	if err := demo.Bench(ctx, c.options); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
