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

// experimentCommand compares policies for placing and refusing requests on emulated
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
	return "compare policies that place and refuse requests on emulated servers"
}

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return "vanillasail experiment [-patterns LIST] [-cases LIST] [-policies LIST] [-loads LIST] [-servers N]\n                       [-seeds N] [-time DURATION] [-output table|csv|json|svg]\n\nEmulates servers that other workloads on their hosts slow down for periods of\n150 ms, or 500 ms in the pattern long, on a fake clock and without a network.\nServers of the pattern knee also slow down when nearly all of their slots are\nbusy. A load of 1 is the usual load of the pattern. LIST is one or more\nvalues separated by commas.\n\nExample: vanillasail experiment -patterns knee -cases steady,burst -output svg > burst.svg\n"
}

// SetFlags implements subcommands.Command.
func (c *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.patterns, "patterns", "knee,flat", "server patterns: knee (slower when nearly all slots are busy), flat (not), long (long slow periods)")
	f.StringVar(&c.cases, "cases", "steady", "disturbances: steady (none), burst, cold (slow servers), fewer (servers)")
	f.StringVar(&c.policies, "policies", strings.Join(pacing.Policies(), ","), "policies to compare")
	f.StringVar(&c.loads, "loads", "1,1.25,1.6", "multiples of the usual load")
	f.IntVar(&c.servers, "servers", 0, "number of servers; 0 for the number in the pattern")
	f.IntVar(&c.seeds, "seeds", 3, "runs of each combination, with different random seeds")
	f.DurationVar(&c.length, "time", 20*time.Second, "emulated time after the warm-up")
	f.StringVar(&c.output, "output", "table", strings.Join(pacing.Formats(), ", "))
}

// Execute implements subcommands.Command.
func (c *experimentCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	runs, err := c.runOptions()
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

// runOptions returns the options of all runs.
func (c *experimentCommand) runOptions() (all []pacing.Options, err error) {
	if c.servers < 0 || c.seeds < 1 || c.length <= 0 || !slices.Contains(pacing.Formats(), c.output) {
		return nil, fault.New(fault.KindBadRequest, "servers %d must not be negative, seeds %d and time %s must be positive, output %q must be a known format", c.servers, c.seeds, c.length, c.output).
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
		options, err := c.patternOptions(pattern)
		if err != nil {
			return nil, err
		}
		all = append(all, options...)
	}
	return all, nil
}

func (c *experimentCommand) patternOptions(pattern pacing.Pattern) (all []pacing.Options, err error) {
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
