package budget_test

import (
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/pkg/budget"
)

func ExampleLimiter() {
	var l budget.Limiter
	l.SetServers(budget.Rate{Messages: 4, Bytes: 1000})
	now := time.Now()
	for range 3 {
		fmt.Println(l.Allow(budget.Probe, 50, now, budget.Server("stock-1")))
	}
	fmt.Println(l.Allow(budget.Control, 50, now, budget.Server("stock-1")))
	// Output:
	// true
	// true
	// false
	// true
}
