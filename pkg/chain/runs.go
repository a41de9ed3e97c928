// Package chain links the calls that a backend server makes to the requests for which
// it makes them. It does no I/O.
package chain

import (
	"maps"
	"sync"
	"time"
)

// Runs holds the requests that the local backend server runs, by ID. Its zero value is
// ready to use.
//
// Load pattern: requests of one service call another one that is full. A call that is
// refused wastes the work that waits for it, and the server answers 500 although
// nothing is wrong with it.
type Runs struct {
	mu   sync.Mutex
	runs map[string]*Run
}

// Run is a request that the local backend server runs.
type Run struct {
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	Deadline time.Time

	// requests counts the running requests with the ID.
	requests int
	// failedCalls counts the calls that got no successful answer.
	failedCalls int
	// calls counts the calls by service, with those that were made for them.
	calls map[string]int
}

// Summary is what is known of the calls of a run when it ends.
type Summary struct {
	// Calls is the number of calls by service, with those that were made for them in
	// turn; nil if there were none.
	Calls map[string]int
	// Failed is set when a call got no successful answer.
	Failed bool
}

// Add adds a request that the server begins to run.
func (r *Runs) Add(id string, priority int, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run == nil {
		if r.runs == nil {
			r.runs = make(map[string]*Run)
		}
		run = &Run{Priority: priority, Deadline: deadline}
		r.runs[id] = run
	}
	run.requests++
}

// Remove removes a request that has ended, and returns what is known of its calls.
func (r *Runs) Remove(id string) Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run == nil {
		return Summary{}
	}
	if run.requests--; run.requests == 0 {
		delete(r.runs, id)
	}
	return Summary{Calls: maps.Clone(run.calls), Failed: run.failedCalls > 0}
}

// Parent returns the running request with the ID; false if there is none, so that a
// request that names it is not a call of this server.
func (r *Runs) Parent(id string) (Run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run == nil {
		return Run{}, false
	}
	return *run, true
}

// Called records a call of the request, with the calls that were made for it in turn.
// failed is set when it got no successful answer.
func (r *Runs) Called(id, service string, calls map[string]int, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run == nil {
		return
	}
	if failed {
		run.failedCalls++
	}
	if run.calls == nil {
		run.calls = make(map[string]int)
	}
	run.calls[service]++
	for name, n := range calls {
		run.calls[name] += n
	}
}

// CallPriority returns the priority of a call: at least one level above the request
// that waits for it, because work was done for that already. It is no higher than
// that, so that the calls of less urgent requests do not displace more urgent ones.
func (r Run) CallPriority(own int) int { return max(min(own, r.Priority-1), 0) }
