// Package chain links the calls that a backend server makes to the requests for which
// it makes them. It does no I/O.
package chain

import (
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

// Remove removes a request that has ended, and reports whether one of its calls failed.
func (r *Runs) Remove(id string) (callFailed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := r.runs[id]
	if run == nil {
		return false
	}
	if run.requests--; run.requests == 0 {
		delete(r.runs, id)
	}
	return run.failedCalls > 0
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

// CallFailed records that a call of the request got no successful answer.
func (r *Runs) CallFailed(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.runs[id]; run != nil {
		run.failedCalls++
	}
}

// CallPriority returns the priority of a call: at least one level above the request
// that waits for it, because work was done for that already. It is no higher than
// that, so that the calls of less urgent requests do not displace more urgent ones.
func (r Run) CallPriority(own int) int { return max(min(own, r.Priority-1), 0) }
