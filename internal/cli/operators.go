package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/internal/operator"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

// queries lists the verbs that watch may repeat, because they change nothing.
var queries = []string{"show", "explain", "diff"}

// watchCommand repeats a query at an interval.
func watchCommand(out io.Writer) *operatorCommand {
	var (
		a     clientFlags
		every time.Duration
		count int
	)
	return &operatorCommand{
		name: "watch", summary: "repeat a query", syntax: "watch [-every DURATION] [-count N] show|explain|diff ...",
		example: "watch -every 2s show 'servers of stock'",
		registerFlags: func(f *flag.FlagSet) {
			a.registerFlags(f)
			f.DurationVar(&every, "every", 2*time.Second, "interval between queries, at least 100ms")
			f.IntVar(&count, "count", 0, "number of queries; 0 repeats until interrupted")
		},
		run: func(ctx context.Context, words []string) error {
			if len(words) == 0 || !slices.Contains(queries, words[0]) || every < 100*time.Millisecond {
				return fault.New(fault.KindBadRequest, "only queries can be repeated, at most 10 times a second").WithRemedy("write watch show ..., watch explain ID or watch diff")
			}
			return repeat(ctx, every, count, func() error { return a.run(ctx, words[0], words[1:], out) })
		},
	}
}

func repeat(ctx context.Context, every time.Duration, count int, query func() error) error {
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 1; ; n++ {
		if err := query(); err != nil && ctx.Err() == nil {
			return err
		}
		if n == count {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// shellCommand reads commands of the command language line by line.
func shellCommand(in io.Reader, out io.Writer) *operatorCommand {
	var a clientFlags
	return &operatorCommand{
		name: "shell", summary: "read commands of the command language line by line", syntax: "shell",
		example: "shell -nodes 10.0.0.7:7004", registerFlags: a.registerFlags,
		run: func(ctx context.Context, words []string) error {
			if len(words) > 0 {
				return fault.New(fault.KindBadRequest, "shell takes no arguments").WithRemedy("write the commands on its input")
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			return client.Shell(ctx, in, out)
		},
	}
}

// tokenCommand signs an operator token with the secret from the settings of the nodes.
func tokenCommand(out io.Writer) *operatorCommand {
	var (
		path, role string
		validity   time.Duration
	)
	return &operatorCommand{
		name: "token", summary: "sign an operator token",
		syntax:  "token [-settings FILE] [-role viewer|operator] [-validity DURATION] NAME",
		example: "token -settings /etc/vanillasail.yaml -role viewer ana",
		registerFlags: func(f *flag.FlagSet) {
			f.StringVar(&path, "settings", "", "settings file with tokens.secret (default: the secret is in $"+envSecret+")")
			f.StringVar(&role, "role", string(operator.RoleOperator), "viewer or operator")
			f.DurationVar(&validity, "validity", 12*time.Hour, "how long the token is valid")
		},
		run: func(_ context.Context, words []string) error {
			if len(words) != 1 || validity <= 0 {
				return fault.New(fault.KindBadRequest, "one name and a positive validity are required").WithRemedy("write token NAME")
			}
			secret, err := tokenSecret(path)
			if err != nil {
				return err
			}
			key, err := operator.SecretKey("settings", []byte(secret))
			if err != nil {
				return err
			}
			token, err := key.Sign(operator.Identity{Name: words[0], Role: operator.Role(role)}, time.Now(), validity)
			if err == nil {
				_, err = fmt.Fprintln(out, token)
			}
			return err
		},
	}
}

// tokenSecret reads the secret from a settings file or the environment. There is no
// flag for it, because command lines are visible to all users of the host.
func tokenSecret(path string) (string, error) {
	if path == "" {
		return os.Getenv(envSecret), nil
	}
	s, err := readSettings(path)
	return s.Tokens.Secret, err
}
