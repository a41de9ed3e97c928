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

	forwarded, _ := attempts.Send("stock-1")
	fmt.Println("forwarded:", forwarded.Retries)
	attempts.Answer("stock-1", forwarded.Retries)
	fmt.Println("retry:", attempts.Retry(&budget, true, retry.Failed, now))
	_, ok := attempts.Send("stock-1")
	fmt.Println("same server:", ok)
	// Output:
	// forwarded: 1
	// retry: true
	// same server: false
}
