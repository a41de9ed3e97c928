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

// operatorCommand is one entry of the table of operators' commands.
type operatorCommand struct {
	name, summary, syntax, example string
	// flags may be nil.
	flags func(*flag.FlagSet)
	// run gets the words after the flags.
	run func(ctx context.Context, words []string) error
	// errors is where errors are printed.
	errors io.Writer
}

// operatorCommands returns the table: the verbs of the language and the tools
// around them.
func operatorCommands(in io.Reader, out, errors io.Writer) []*operatorCommand {
	all := []*operatorCommand{watchCommand(out), shellCommand(in, out), tokenCommand(out)}
	for _, v := range operator.Verbs {
		if v.Name == applyVerb {
			all = append(all, applyCommand(v, out))
			continue
		}
		all = append(all, verbCommand(v, out))
	}
	for _, c := range all {
		c.errors = errors
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
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command. Flags that begin with two dashes may
// also follow the words; one dash may begin a value such as -5.
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
		_, _ = fmt.Fprintln(c.errors, err)
	}
	return subcommands.ExitStatus(operator.ExitCode(err))
}

// verbCommand sends one command of the language.
func verbCommand(v operator.Verb, out io.Writer) *operatorCommand {
	var a access
	return &operatorCommand{
		name: v.Name, summary: v.Summary, syntax: v.Syntax, example: inShell(v.Example), flags: a.flags,
		run: func(ctx context.Context, words []string) error { return a.run(ctx, v.Name, words, out) },
	}
}

// inShell quotes an example of the language for a shell.
func inShell(example string) string {
	verb, rest, _ := strings.Cut(example, " ")
	if rest == "" {
		return verb
	}
	return verb + " '" + rest + "'"
}

// access says how to reach the nodes, and the form of the output.
type access struct{ nodes, token, output string }

func (a *access) flags(f *flag.FlagSet) {
	f.StringVar(&a.nodes, "nodes", os.Getenv(envNodes), "operator addresses of nodes, IP:port, separated by commas (default $"+envNodes+")")
	f.StringVar(&a.token, "token", "", "operator token (default $"+envToken+")")
	f.StringVar(&a.output, "output", "table", "table or json")
}

func (a *access) client() (operator.Client, error) {
	if a.output != "table" && a.output != "json" {
		return operator.Client{}, fault.New(fault.KindBadRequest, "output %q", a.output).WithRemedy("use table or json")
	}
	// The flag has no default value, because its help would print the token.
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

func (a *access) run(ctx context.Context, verb string, words []string, out io.Writer) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	text, err := client.Run(ctx, sentence(verb, words))
	if err == nil {
		w := bufio.NewWriter(out)
		_, _ = w.WriteString(text)
		err = w.Flush()
	}
	return err
}

// sentence joins words of a shell to a command. One word is the whole rest of a
// command; among several, quotes that the shell removed are put back around
// reasons and around texts with spaces.
func sentence(verb string, words []string) string {
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
