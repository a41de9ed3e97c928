package quarantine_test

import (
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/pkg/quarantine"
)

func ExampleTable() {
	var first, second quarantine.Table
	now := time.Now()
	const content = quarantine.Fingerprint(42)

	first.Begin(content, now)
	second.Merge(first.Crash("stock-1", now), now)
	fmt.Println(second.Check(content, now))

	second.Begin(content, now)
	first.Merge(second.Crash("stock-2", now), now)
	fmt.Println(first.Check(content, now))
	// Output:
	// alone
	// refuse
}
