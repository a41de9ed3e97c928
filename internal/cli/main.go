// Package cli implements the command line of vanillasail.
package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/google/subcommands"
)

// Main runs the command that the process arguments select, and returns the exit code.
func Main() int {
	commander := subcommands.NewCommander(flag.CommandLine, "vanillasail")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(&nodeCommand{}, "run")
	commander.Register(&demoCommand{}, "run")
	commander.Register(&benchCommand{}, "test")
	commander.Register(&experimentCommand{}, "test")
	commander.Register(&checkCommand{}, "prepare")
	commander.Register(&keysCommand{}, "prepare")
	commander.Register(&standinCommand{}, "test")
	commander.Register(&causesCommand{out: os.Stdout, in: os.Stdin}, "operate")
	commander.Register(&storyCommand{out: os.Stdout, in: os.Stdin}, "operate")
	for _, c := range operatorCommands(os.Stdin, os.Stdout, os.Stderr) {
		commander.Register(c, "operate")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

// newLogger returns a newLogger that writes events of the level and above to standard
// error, one logfmt line each.
func newLogger(level string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	return &log.Logger{Handler: logfmt.New(os.Stderr), Level: parsed}, nil
}

// fail prints the error to standard error and returns the exit status of a failure.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
