package admission_test

import (
	"fmt"
	"time"

	"github.com/vanillasail/vanillasail/pkg/admission"
)

func ExampleQueue() {
	var q admission.Queue
	q.SetSlots(1)
	now := time.Now()
	first, d := q.Enter(admission.Request{Tenant: "poa-depot"}, now)
	fmt.Println(d.Verdict)
	_, d = q.Enter(admission.Request{Tenant: "cwb-depot", Waiter: "second"}, now)
	fmt.Println(d.Verdict)
	for _, e := range q.Leave(first, now.Add(10*time.Millisecond), nil) {
		fmt.Println("start", e.Waiter)
	}
	fmt.Println(q.Load(now).InFlight)
	// Output:
	// run
	// wait
	// start second
	// 1
}
