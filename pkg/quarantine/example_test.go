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

	start, _ := first.Begin(content, now)
	incident, _ := first.Crash("stock-1", start, now)
	second.Merge(incident, now)
	fmt.Println(second.Check(content, now))

	start, _ = second.Begin(content, now)
	incident, _ = second.Crash("stock-2", start, now)
	first.Merge(incident, now)
	fmt.Println(first.Check(content, now))
	// Output:
	// alone
	// refuse
}
