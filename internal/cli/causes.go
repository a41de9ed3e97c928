package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/causes"
)

// causesCommand counts the failed requests in the logs of nodes by cause.
type causesCommand struct {
	output string
	out    io.Writer
	in     io.Reader
}

// Name implements subcommands.Command.
func (*causesCommand) Name() string { return "causes" }

// Synopsis implements subcommands.Command.
func (*causesCommand) Synopsis() string { return "count the failed requests in logs by cause" }

// Usage implements subcommands.Command.
func (*causesCommand) Usage() string {
	return "vanillasail causes [-output table|json|svg] [FILE...]\n\nReads the logs of nodes from files, or from standard input if none is given, and\ncounts the failed requests by service, route, kind and cause. The example is a\nrequest ID for the command story; svg draws failures per second by kind.\n\nExample: vanillasail causes n1.log n2.log\n"
}

// SetFlags implements subcommands.Command.
func (c *causesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.output, "output", "table", "table, json or svg")
}

// Execute implements subcommands.Command.
func (c *causesCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var summary causes.Summary
	write, ok := map[string]func(io.Writer) error{
		"table": summary.WriteTable, "json": summary.WriteJSON, "svg": summary.WritePlot,
	}[c.output]
	if !ok {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := readLogs(f.Args(), c.in, func(_, line string) { summary.Add(line) }); err != nil {
		return fail(err)
	}
	if err := write(c.out); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
