package cli

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	envNodes  = "VANILLASAIL_NODES"
	envToken  = "VANILLASAIL_TOKEN"
	envSecret = "VANILLASAIL_SECRET"
)

// operatorCommand is a command for operators of the cluster.
type operatorCommand struct {
	name, summary, syntax, example string
	// registerFlags registers the flags; it may be nil.
	registerFlags func(*flag.FlagSet)
	// run is called with the arguments that are not flags, which are words of the
	// command language or the arguments of watch, shell and token.
	run func(ctx context.Context, words []string) error
	// stderr receives error messages.
	stderr io.Writer
}

// operatorCommands returns the commands for operators: the verbs of the command
// language, and watch, shell and token.
func operatorCommands(in io.Reader, out, stderr io.Writer) []*operatorCommand {
	all := []*operatorCommand{watchCommand(out), shellCommand(in, out), tokenCommand(out)}
	for _, v := range operator.Verbs {
		if v.Name == applyVerb {
			all = append(all, applyCommand(v, out))
			continue
		}
		all = append(all, verbCommand(v, out))
	}
	for _, c := range all {
		c.stderr = stderr
	}
	return all
}

// Name implements subcommands.Command.
func (c *operatorCommand) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *operatorCommand) Synopsis() string { return c.summary }

// Usage implements subcommands.Command.
func (c *operatorCommand) Usage() string {
	return fmt.Sprintf("vanillasail %s\n\nExample: vanillasail %s\n\nExit codes: 0 success, 1 failure, 2 usage, 3 conflict, 4 unavailable.\n\n", c.syntax, c.example)
}

// SetFlags implements subcommands.Command.
func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	if c.registerFlags != nil {
		c.registerFlags(f)
	}
}

// Execute implements subcommands.Command. Flags with two dashes may also follow other
// arguments. An argument with a single dash is not parsed as a flag there, because it
// may be a value such as -5.
func (c *operatorCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var words []string
	for rest := f.Args(); len(rest) > 0; {
		if !strings.HasPrefix(rest[0], "--") {
			words, rest = append(words, rest[0]), rest[1:]
			continue
		}
		if err := f.Parse(rest); err != nil {
			return subcommands.ExitUsageError
		}
		rest = f.Args()
	}
	err := c.run(ctx, words)
	if err != nil {
		_, _ = fmt.Fprintln(c.stderr, err)
	}
	return subcommands.ExitStatus(operator.ExitCode(err))
}

// verbCommand sends one command of the command language to a node.
func verbCommand(v operator.Verb, out io.Writer) *operatorCommand {
	var a clientFlags
	return &operatorCommand{
		name: v.Name, summary: v.Summary, syntax: v.Syntax, example: quoteForShell(v.Example), registerFlags: a.registerFlags,
		run: func(ctx context.Context, words []string) error { return a.run(ctx, v.Name, words, out) },
	}
}

// quoteForShell quotes an example of the command language for a shell.
func quoteForShell(example string) string {
	verb, rest, _ := strings.Cut(example, " ")
	if rest == "" {
		return verb
	}
	return verb + " '" + rest + "'"
}

// clientFlags holds the flags for the node addresses, the token and the output
// format.
type clientFlags struct{ nodes, token, output string }

func (a *clientFlags) registerFlags(f *flag.FlagSet) {
	f.StringVar(&a.nodes, "nodes", os.Getenv(envNodes), "operator addresses of nodes, IP:port, separated by commas (default $"+envNodes+")")
	f.StringVar(&a.token, "token", "", "operator token (default $"+envToken+")")
	f.StringVar(&a.output, "output", "table", "table or json")
}

func (a *clientFlags) client() (operator.Client, error) {
	if a.output != "table" && a.output != "json" {
		return operator.Client{}, fault.New(fault.KindBadRequest, "output %q", a.output).WithRemedy("use table or json")
	}
	// The environment variable is not the default value of the flag, because the help
	// text would print the token.
	token := a.token
	if token == "" {
		token = os.Getenv(envToken)
	}
	if token == "" || a.nodes == "" {
		return operator.Client{}, fault.New(fault.KindBadRequest, "no node or no token is named").
			WithRemedy("pass -nodes and -token, or set " + envNodes + " and " + envToken + "; make a token with 'vanillasail token'")
	}
	var urls []string
	for node := range strings.SplitSeq(a.nodes, ",") {
		if node = strings.TrimSpace(node); !strings.Contains(node, "://") {
			node = "http://" + node
		}
		urls = append(urls, strings.TrimSuffix(node, "/"))
	}
	return operator.Client{Nodes: urls, Token: token, JSON: a.output == "json"}, nil
}

func (a *clientFlags) run(ctx context.Context, verb string, words []string, out io.Writer) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	text, err := client.Run(ctx, commandText(verb, words))
	if err == nil {
		w := bufio.NewWriter(out)
		_, _ = w.WriteString(text)
		err = w.Flush()
	}
	return err
}

// commandText joins a verb and shell arguments into a command. A single argument is
// the rest of the command, unchanged. Otherwise, reasons and arguments with spaces
// are quoted again, because the shell has removed the quotes.
func commandText(verb string, words []string) string {
	text := verb
	for i, word := range words {
		reason := i > 0 && words[i-1] == "because"
		spaced := strings.Contains(word, " ") && !strings.ContainsAny(word, `"=<>~`)
		if len(words) > 1 && (reason || spaced) && !strings.HasPrefix(word, `"`) {
			word = strconv.Quote(word)
		}
		text += " " + word
	}
	return text
}
