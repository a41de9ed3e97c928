package cli

import (
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/pacing"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// experimentCommand compares policies for placing and refusing requests on simulated
// servers whose speed changes within milliseconds.
type experimentCommand struct {
	patterns, cases, policies, loads string
	servers, seeds                   int
	length                           time.Duration
	output                           string
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string {
	return "compare ways to place and refuse requests on emulated servers"
}

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return "vanillasail experiment [-patterns LIST] [-cases LIST] [-policies LIST] [-loads LIST] [-servers N]\n                       [-seeds N] [-time DURATION] [-output table|csv|json|svg]\n\nEmulates servers that neighbours slow down for spells of 150 ms, on a fake clock\nand without a network. A load of 1 is the usual one. Lists are joined by commas.\n\nExample: vanillasail experiment -patterns knee -cases steady,burst -output svg > burst.svg\n"
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.patterns, "patterns", "knee,flat", "servers that slow down when nearly full (knee) or not (flat)")
	f.StringVar(&c.cases, "cases", "steady", "steady, burst, cold, fewer")
	f.StringVar(&c.policies, "policies", strings.Join(pacing.Policies(), ","), "what is compared")
	f.StringVar(&c.loads, "loads", "1,1.25,1.6", "multiples of the usual load")
	f.IntVar(&c.servers, "servers", 0, "number of servers; 0 means that of the pattern")
	f.IntVar(&c.seeds, "seeds", 3, "runs of each combination")
	f.DurationVar(&c.length, "time", 20*time.Second, "emulated time that counts")
	f.StringVar(&c.output, "output", "table", strings.Join(pacing.Formats(), ", "))
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	runs, err := c.runs()
	if err != nil {
		fail(err)
		return subcommands.ExitUsageError
	}
	results := make([]pacing.Result, 0, len(runs))
	for _, o := range runs {
		if ctx.Err() != nil {
			return fail(ctx.Err())
		}
		results = append(results, pacing.Run(o))
	}
	if err := pacing.Write(os.Stdout, c.output, results); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// runs returns the options of all runs.
func (c *experimentCommand) runs() (all []pacing.Options, err error) {
	if c.servers < 0 || c.seeds < 1 || c.length <= 0 || !slices.Contains(pacing.Formats(), c.output) {
		return nil, fault.New(fault.KindBadRequest, "servers %d, seeds %d, time %s, output %q", c.servers, c.seeds, c.length, c.output).
			WithRemedy("see vanillasail help experiment")
	}
	for _, name := range strings.Split(c.patterns, ",") {
		pattern, ok := pacing.PatternNamed(name)
		if !ok {
			return nil, unknownValue("pattern", name)
		}
		if c.servers > 0 {
			pattern = pattern.WithServers(c.servers)
		}
		options, err := c.patternRuns(pattern)
		if err != nil {
			return nil, err
		}
		all = append(all, options...)
	}
	return all, nil
}

func (c *experimentCommand) patternRuns(pattern pacing.Pattern) (all []pacing.Options, err error) {
	for _, caseName := range strings.Split(c.cases, ",") {
		if !slices.Contains(pacing.Cases(), pacing.Case(caseName)) {
			return nil, unknownValue("case", caseName)
		}
		for _, text := range strings.Split(c.loads, ",") {
			load, err := strconv.ParseFloat(text, 64)
			if err != nil || load <= 0 {
				return nil, unknownValue("load", text)
			}
			for _, policy := range strings.Split(c.policies, ",") {
				if !slices.Contains(pacing.Policies(), policy) {
					return nil, unknownValue("policy", policy)
				}
				for seed := range c.seeds {
					all = append(all, pacing.Options{
						Pattern: pattern, Case: pacing.Case(caseName), Policy: policy, Load: load, Seed: uint64(seed + 1), Length: c.length,
					})
				}
			}
		}
	}
	return all, nil
}

func unknownValue(what, name string) error {
	return fault.New(fault.KindBadRequest, "%s %q is not known", what, name).WithRemedy("see vanillasail help experiment")
}
