package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"sort"
	"strings"

	"github.com/google/subcommands"
)

// storyCommand prints the lines about one request from the logs of several nodes.
type storyCommand struct {
	calls bool
	out   io.Writer
	in    io.Reader
}

// Name implements subcommands.Command.
func (*storyCommand) Name() string { return "story" }

// Synopsis implements subcommands.Command.
func (*storyCommand) Synopsis() string { return "print the log lines of one request in order" }

// Usage implements subcommands.Command.
func (*storyCommand) Usage() string {
	return "vanillasail story [-calls] ID [FILE...]\n\nReads the logs of nodes from files, or from standard input if none is given, and\nprints the lines of the request in the order of their time. With -calls it adds the\ncalls that the request made. The exit code is 1 if no line names the request.\n\nExample: vanillasail story 4e36268ba789fe0a n1.log n2.log\n"
}

// SetFlags implements subcommands.Command.
func (c *storyCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.calls, "calls", false, "add the calls that the request made")
}

// Execute implements subcommands.Command.
func (c *storyCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s := requestLog{id: f.Arg(0), calls: c.calls}
	if err := readLogs(f.Args()[1:], c.in, s.add); err != nil {
		return fail(err)
	}
	s.print(c.out)
	if len(s.lines) == 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// requestLog collects the log lines of one request.
type requestLog struct {
	id    string
	calls bool
	lines []logLine
	// dropReports counts log lines with which nodes report that they dropped lines.
	dropReports int
}

type logLine struct {
	at, source, text string
}

var (
	idField        = regexp.MustCompile(`(?:^| )id=("[^"]*"|\S+)`)
	timestampField = regexp.MustCompile(`timestamp=(\S+) ?`)
)

func (s *requestLog) add(source, line string) {
	if strings.Contains(line, "log lines left out") {
		s.dropReports++
		return
	}
	if found := idField.FindStringSubmatch(line); found == nil || !s.includes(strings.Trim(found[1], `"`)) {
		return
	}
	at := ""
	if found := timestampField.FindStringSubmatch(line); found != nil {
		at = found[1]
	}
	s.lines = append(s.lines, logLine{at, source, timestampField.ReplaceAllString(line, "")})
}

// includes reports whether lines with the ID are collected. The ID of a call is that
// of the request, followed by a dot and a suffix.
func (s *requestLog) includes(id string) bool {
	return id == s.id || s.calls && strings.HasPrefix(id, s.id+".")
}

func (s *requestLog) print(w io.Writer) {
	sort.SliceStable(s.lines, func(i, j int) bool { return s.lines[i].at < s.lines[j].at })
	for _, l := range s.lines {
		fmt.Fprintf(w, "%s %s %s\n", l.at, l.source, l.text)
	}
	if len(s.lines) == 0 {
		fmt.Fprintf(w, "no line names request %s\n", s.id)
	}
	if s.dropReports > 0 {
		fmt.Fprintf(w, "the logs report %d times that lines were left out, so some may be missing\n", s.dropReports)
	}
}
