package scenario

import (
	"context"
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/internal/operator"
)

// operate sends one command as an operator; the result is kept for await answer.
func (w *world) operate(a nodeAddrs, text string) error {
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
	client := operator.Client{Nodes: []string{"http://" + a.operator}, Token: token}
	result, err := client.Run(ctx, text)
	w.last = answer{text: result, outcome: fmt.Sprint(operator.ExitCode(err))}
	return err
}
