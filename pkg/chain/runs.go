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
	// namedAt is when the newest call that names its request began.
	namedAt time.Time
}

// Source is where a request that reaches the node beside a server comes from. Clients and
// the server itself send their requests to the same address.
type Source uint8

const (
	// Client means that no request that the server runs can have made it.
	Client Source = iota
	// Call means that it names the request that has made it.
	Call
	// Unclear means that it may be a call of a request that the server runs.
	Unclear
)

const (
	// deadlineSlack is how much later than that of its request the deadline of a call may
	// seem to be: both are rounded, and the time on the connection adds to them.
	deadlineSlack = 20 * time.Millisecond
	// namedTTL is how long a call that names its request shows that the server's other
	// calls do so too.
	namedTTL = time.Minute
)

// Run is a request that the local backend server runs.
type Run struct {
	// Priority is that of the request; 0 is the most urgent.
	Priority int
	Deadline time.Time

	// requests counts the running requests with the ID.
	requests int
	// failedCalls counts the calls that got no successful answer, and unclearFailed those
	// requests that may be calls of this one.
	failedCalls, unclearFailed int
	// calls counts the calls by service, with those that were made for them.
	calls map[string]int
}

// Summary is what is known of the calls of a run when it ends.
type Summary struct {
	// Calls is the number of calls by service, with those that were made for them in
	// turn; nil if there were none. It has the requests whose source is unclear.
	Calls map[string]int
	// Failed is set when a call got no successful answer, MayHaveFailed when a request got
	// none that may be a call.
	Failed, MayHaveFailed bool
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
	return Summary{Calls: maps.Clone(run.calls), Failed: run.failedCalls > 0, MayHaveFailed: run.unclearFailed > 0}
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

// Source returns where a request comes from that may name another one as its parent, and
// the parent of a call. A call ends at its parent's deadline, so one with a later deadline
// than all running requests is none. One without a deadline may be a call of each.
func (r *Runs) Source(parent string, deadline, now time.Time) (Run, Source) {
	if run, ok := r.Parent(parent); ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.namedAt = now
		return run, Call
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.namedAt.IsZero() && now.Sub(r.namedAt) < namedTTL {
		return Run{}, Client
	}
	for _, run := range r.runs {
		if run.mayCall(deadline) {
			return Run{}, Unclear
		}
	}
	return Run{}, Client
}

// UnclearEnded records the end of a request whose source is unclear. It counts as a call of one
// of the requests that may have made it, the one with the next deadline. failed is set when
// it got no successful answer, so that a call of each of them may have failed.
func (r *Runs) UnclearEnded(deadline time.Time, service string, calls map[string]int, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var next *Run
	for _, run := range r.runs {
		if !run.mayCall(deadline) {
			continue
		}
		if next == nil || run.Deadline.Before(next.Deadline) {
			next = run
		}
		if failed {
			run.unclearFailed++
		}
	}
	if next != nil {
		next.addCall(service, calls)
	}
}

// mayCall reports whether a call of the request may have the deadline.
func (r *Run) mayCall(deadline time.Time) bool {
	return !deadline.After(r.Deadline.Add(deadlineSlack))
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
	run.addCall(service, calls)
}

// addCall counts a call with those that were made for it in turn.
func (r *Run) addCall(service string, calls map[string]int) {
	if r.calls == nil {
		r.calls = make(map[string]int)
	}
	r.calls[service]++
	for name, n := range calls {
		r.calls[name] += n
	}
}

// CallPriority returns the priority of a call: at least one level above the request
// that waits for it, because work was done for that already. It is no higher than
// that, so that the calls of less urgent requests do not displace more urgent ones.
func (r Run) CallPriority(own int) int { return max(min(own, r.Priority-1), 0) }
