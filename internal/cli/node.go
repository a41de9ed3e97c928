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

// stopTimeout is longer than the longest request timeout, so that a graceful shutdown
// does not abort requests.
const stopTimeout = 45 * time.Second

// nodeCommand runs a node until SIGTERM or SIGINT. SIGHUP reloads the certificates.
type nodeCommand struct {
	path string
}

// Name implements subcommands.Command.
func (*nodeCommand) Name() string { return "node" }

// Synopsis implements subcommands.Command.
func (*nodeCommand) Synopsis() string { return "run the node beside a backend server" }

// Usage implements subcommands.Command.
func (*nodeCommand) Usage() string {
	return "vanillasail node -settings FILE\n\nRuns until SIGTERM, then stops without cutting off a request. SIGHUP reads the\nPEM files again.\n\nExample: vanillasail node -settings /etc/vanillasail.yaml\n"
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
	log, err := logger(s.Log.Level)
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
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			if err := loadCredentials(credentials, s.TLS); err != nil {
				log.WithError(err).Error("certificates unchanged")
				continue
			}
			log.Info("certificates read again")
		case <-ctx.Done():
			stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			n.Stop(stopping)
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
	var pem [3][]byte
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		text, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("tls: %w; create the files with 'vanillasail keys'", err)
		}
		pem[i] = text
	}
	return credentials.Replace(pem[0], pem[1], pem[2])
}
