package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/vanillasail/vanillasail/internal/node"
)

// keysCommand creates a certificate authority and node certificates.
type keysCommand struct {
	dir      string
	validity time.Duration
}

// Name implements subcommands.Command.
func (*keysCommand) Name() string { return "keys" }

// Synopsis implements subcommands.Command.
func (*keysCommand) Synopsis() string { return "create certificates for connections between nodes" }

// Usage implements subcommands.Command.
func (*keysCommand) Usage() string {
	return "vanillasail keys [-dir DIR] [-validity DURATION] NODE...\n\nWrites ca.pem and, for each node, NODE.pem and NODE.key. The directory is created if it\ndoes not exist. The authority's key is not kept: run the command again and list\nboth authorities in tls.ca to rotate.\n\nExample: vanillasail keys -dir keys n1 n2 n3\n"
}

// SetFlags implements subcommands.Command.
func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.dir, "dir", ".", "directory to write to")
	f.DurationVar(&c.validity, "validity", 365*24*time.Hour, "how long the certificates are valid")
}

// Execute implements subcommands.Command.
func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return subcommands.ExitUsageError
	}
	if err := c.write(f.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *keysCommand) write(names []string) error {
	authority, err := node.NewAuthority("vanillasail", c.validity)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Clean(c.dir), 0o755); err != nil {
		return eris.Wrap(err, "create the directory; choose another one with -dir")
	}
	if err := c.writeFile("ca.pem", authority.CertPEM, 0o644); err != nil {
		return err
	}
	for _, name := range names {
		cert, key, err := authority.Issue(name, c.validity)
		if err != nil {
			return err
		}
		if err := c.writeFile(name+".pem", cert, 0o644); err != nil {
			return err
		}
		if err := c.writeFile(name+".key", key, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *keysCommand) writeFile(name string, content []byte, mode os.FileMode) error {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, content, mode); err != nil {
		return eris.Wrap(err, "write the file; choose another directory with -dir")
	}
	fmt.Println(path)
	return nil
}
