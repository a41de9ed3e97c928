package operator

import (
	"context"
	"strings"

	"github.com/vanillasail/vanillasail/pkg/config"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// apply submits the document below the command as a whole. It is decoded first,
// because its mistakes do not depend on the base.
func (x *run) apply(ctx context.Context, a *apply) (Result, error) {
	if strings.TrimSpace(x.document) == "" {
		err := fault.New(fault.KindBadRequest, "no document follows the command").
			WithRemedy("write the YAML text on the lines below it, or name a file that is not empty at the command line or in the shell")
		return Result{}, locate(x.Text, a.Pos, err)
	}
	d, err := config.Parse([]byte(x.document))
	if err != nil {
		return Result{}, inFile(a.File, err)
	}
	return x.change(ctx, a.Clause, func(*config.Snapshot) (config.Document, error) { return d, nil })
}

// inFile adds the name of the file to an error about its text.
func inFile(file string, err error) error {
	if file == "" {
		return err
	}
	e := *fault.As(err)
	e.Detail = file + ": " + e.Detail
	return &e
}
