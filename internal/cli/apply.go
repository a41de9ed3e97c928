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

// applyCommand submits a whole document. Its flags stand for the clauses of the
// language, which may also follow the file.
func applyCommand(v operator.Verb, out io.Writer) *operatorCommand {
	var (
		a access
		c applyClauses
	)
	return &operatorCommand{
		name: v.Name, summary: v.Summary, syntax: "apply FILE [--base VERSION] [--dry-run] --reason REASON",
		example: `apply configuration.yaml --base 12 --reason "rules of the new cold rooms"`,
		flags: func(f *flag.FlagSet) {
			a.flags(f)
			f.StringVar(&c.reason, "reason", "", "why; kept with the change, and needed without -dry-run")
			f.StringVar(&c.base, "base", "", "version that the document was made from; a conflict if another followed (default: the one in force)")
			f.BoolVar(&c.dry, "dry-run", false, "check the document and show its differences to the base; change nothing")
		},
		run: func(ctx context.Context, words []string) error {
			if len(words) == 0 {
				return fault.New(fault.KindBadRequest, "no file is named").WithRemedy("write apply FILE; /dev/stdin reads the standard input")
			}
			words, err := c.words(words)
			if err != nil {
				return err
			}
			return a.run(ctx, applyVerb, words, out)
		},
	}
}

// applyClauses are the flags of apply.
type applyClauses struct {
	reason, base string
	dry          bool
}

// words returns the words of the command with the flags as clauses. The file is
// quoted, because a path may hold characters that the language does not allow
// in a word; a first word with a quoted part is a command of the language.
func (c applyClauses) words(words []string) ([]string, error) {
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
