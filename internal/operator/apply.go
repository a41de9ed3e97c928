package operator

import (
	"context"
	"strings"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// apply replaces the whole configuration with the document below the command. The
// document is validated first, because its errors do not depend on the base.
func (x *execution) apply(ctx context.Context, a *apply) (Result, error) {
	if strings.TrimSpace(x.document) == "" {
		err := fault.New(fault.KindBadRequest, "no document follows the command").
			WithRemedy("write the YAML text on the lines below it, or name a file that is not empty at the command line or in the shell")
		return Result{}, withPosition(x.Text, a.Pos, err)
	}
	d, err := config.Parse([]byte(x.document))
	if err != nil {
		return Result{}, withFileName(a.File, err)
	}
	return x.change(ctx, a.Clause, func(*config.Snapshot) (config.Document, error) { return d, nil })
}

// withFileName adds the file name to an error about its content.
func withFileName(file string, err error) error {
	if file == "" {
		return err
	}
	e := *fault.As(err)
	e.Detail = file + ": " + e.Detail
	return &e
}
