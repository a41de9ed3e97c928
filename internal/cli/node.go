package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/vanillasail/vanillasail/internal/daemon"
	"github.com/vanillasail/vanillasail/internal/node"
	"github.com/vanillasail/vanillasail/internal/settings"
)

// stopTimeout is longer than config.LongestTimeout, the longest timeout of a request,
// so that a graceful shutdown does not abort requests.
const stopTimeout = 45 * time.Second

// nodeCommand runs a node until SIGTERM or SIGINT. On SIGHUP it reads the PEM files
// again.
type nodeCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*nodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCommand) Synopsis() string { return "run the node beside a backend server" }

// Usage implements subcommands.Command.
func (*nodeCommand) Usage() string {
	return "vanillasail node -settings FILE\n\nRuns until SIGTERM or SIGINT, then finishes its requests and stops. On SIGHUP it\nreads the PEM files again.\n\nExample: vanillasail node -settings /etc/vanillasail.yaml\n"
}

// SetFlags implements subcommands.Command.
func (c *nodeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.path, "settings", "vanillasail.yaml", "YAML settings file")
}

// Execute implements subcommands.Command.
func (c *nodeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s, err := readSettings(c.path)
	if err != nil {
		return fail(err)
	}
	log, err := newLogger(s.Log.Level)
	if err != nil {
		return fail(err)
	}
	credentials := &node.Credentials{}
	if err := loadCredentials(credentials, s.TLS); err != nil {
		return fail(err)
	}
	n := &daemon.Node{Options: daemon.FromSettings(s, credentials, log)}
	if err := n.Start(); err != nil {
		return fail(err)
	}
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	for {
		select {
		case <-sighup:
			if err := loadCredentials(credentials, s.TLS); err != nil {
				log.WithError(err).Error("certificates unchanged")
				continue
			}
			log.Info("certificates read again")
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			n.Stop(stopCtx)
			return subcommands.ExitSuccess
		}
	}
}

func readSettings(path string) (settings.Settings, error) {
	s, _, err := readSettingsText(path)
	return s, err
}

func readSettingsText(path string) (settings.Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, nil, fmt.Errorf("settings file: %w; pass -settings FILE", err)
	}
	s, err := settings.Parse(text)
	return s, text, err
}

func loadCredentials(credentials *node.Credentials, files settings.TLS) error {
	// The files are in the order of the parameters of Replace.
	var pemFiles [3][]byte
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("tls: %w; create the files with 'vanillasail keys'", err)
		}
		pemFiles[i] = text
	}
	return credentials.Replace(pemFiles[0], pemFiles[1], pemFiles[2])
}
