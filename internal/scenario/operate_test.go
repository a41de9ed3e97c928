package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/internal/operator"
)

// operate sends one command as an operator and keeps the result or the error for
// "await answer". File names are relative to the directory of the script.
func (e *environment) operate(a nodeAddrs, text string) error {
	key, err := operator.SecretKey("settings", []byte(tokenSecret))
	if err != nil {
		return err
	}
	token, err := key.Sign(operator.Identity{Name: "ana", Role: operator.RoleOperator}, time.Now(), time.Hour)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	client := operator.Client{Nodes: []string{"http://" + a.operator}, Token: token, ReadFile: func(name string) ([]byte, error) {
		return os.ReadFile(filepath.Join(e.dir, name))
	}}
	result, err := client.Run(ctx, text)
	if err != nil {
		result = err.Error()
	}
	e.lastAnswer = answer{text: result, outcome: fmt.Sprint(operator.ExitCode(err))}
	return err
}

// edit implements "edit FILE OLD NEW", which replaces the only occurrence of a text
// in a file.
func (e *environment) edit(args []string) error {
	path := filepath.Join(e.dir, args[0])
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), args[1]); n != 1 {
		return fmt.Errorf("%s contains %q %d times, want once", args[0], args[1], n)
	}
	return os.WriteFile(path, []byte(strings.Replace(string(text), args[1], args[2], 1)), 0o600)
}
