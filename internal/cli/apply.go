package cli

import (
	"context"
	"flag"
	"io"
	"strconv"
	"strings"

	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const applyVerb = "apply"

// applyCommand submits a whole configuration document. The clauses of the command
// language can be given as flags, or as words after the file.
func applyCommand(v operator.Verb, out io.Writer) *operatorCommand {
	var (
		a clientFlags
		c applyClauses
	)
	return &operatorCommand{
		name: v.Name, summary: v.Summary, syntax: "apply FILE [--base VERSION] [--dry-run] --reason REASON",
		example: `apply configuration.yaml --base 12 --reason "rules of the new cold rooms"`,
		registerFlags: func(f *flag.FlagSet) {
			a.registerFlags(f)
			f.StringVar(&c.reason, "reason", "", "reason, recorded with the change; required without -dry-run")
			f.StringVar(&c.base, "base", "", "version that the document is based on; a conflict if a later version exists (default: the version in force)")
			f.BoolVar(&c.dry, "dry-run", false, "check the document and show its differences from the base; change nothing")
		},
		run: func(ctx context.Context, words []string) error {
			if len(words) == 0 {
				return fault.New(fault.KindBadRequest, "no file is named").WithRemedy("write apply FILE; /dev/stdin reads the standard input")
			}
			words, err := c.appendTo(words)
			if err != nil {
				return err
			}
			return a.run(ctx, applyVerb, words, out)
		},
	}
}

// applyClauses holds the clauses of apply that are given as flags.
type applyClauses struct {
	reason, base string
	dry          bool
}

// appendTo appends the clauses to the words of the command. It quotes the file,
// because a path may contain characters that the command language does not allow in
// a word. If the first word contains a quote, it is already in the command language
// and is not quoted again.
func (c applyClauses) appendTo(words []string) ([]string, error) {
	if !strings.Contains(words[0], `"`) {
		words = append([]string{strconv.Quote(words[0])}, words[1:]...)
	}
	if c.base != "" {
		if _, err := strconv.ParseUint(c.base, 10, 32); err != nil {
			return nil, fault.New(fault.KindBadRequest, "base %q is not a version", c.base).WithRemedy("list the versions with show versions")
		}
		words = append(words, "on", c.base)
	}
	if c.dry {
		words = append(words, "dry", "run")
	}
	if c.reason != "" {
		words = append(words, "because", strconv.Quote(c.reason))
	}
	return words, nil
}
