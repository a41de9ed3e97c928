package retry_test

import (
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
)

func ExampleAttempts() {
	var budget retry.Budget
	now := time.Now()
	for range 9 {
		budget.Grant("stock", retry.DefaultRatio, now.Add(time.Second), now)
	}
	var attempts retry.Attempts
	attempts.Start(budget.Grant("stock", retry.DefaultRatio, now.Add(time.Second), now))

	lent, _ := attempts.Send("stock-1")
	fmt.Println("sent along:", lent.Retries)
	attempts.Answer("stock-1", lent.Retries)
	fmt.Println("retry:", attempts.Retry(&budget, true, retry.Failed, now))
	_, ok := attempts.Send("stock-1")
	fmt.Println("same server:", ok)
	// Output:
	// sent along: 1
	// retry: true
	// same server: false
}
