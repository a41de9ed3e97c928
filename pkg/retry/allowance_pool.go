package retry

import "sync"

// maxPoolEntries bounds the memory of an AllowancePool. A server has at most a few
// dozen requests in flight.
const maxPoolEntries = 1024

// AllowancePool holds the allowances of the requests that the local backend server
// is running, by request ID. The calls that the server makes for a request draw on
// its allowance, so a server that copies its headers to several calls does not
// multiply it. The zero value is ready to use.
type AllowancePool struct {
	mu      sync.Mutex
	entries map[string]*poolEntry
}

// poolEntry is the allowance shared by all running requests with one ID.
type poolEntry struct {
	Allowance
	requests int
}

// Add makes the allowance available to the calls that the server makes for the
// request. It returns false if the pool is full; the caller then keeps the allowance
// and does not call Remove.
func (p *AllowancePool) Add(id string, a Allowance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.entries[id]; existing != nil {
		existing.merge(a)
		return true
	}
	if len(p.entries) >= maxPoolEntries {
		return false
	}
	if p.entries == nil {
		p.entries = make(map[string]*poolEntry)
	}
	p.entries[id] = &poolEntry{Allowance: a, requests: 1}
	return true
}

// Borrow returns the allowance of one call that the server makes for the request:
// half of the retries left, rounded up. It returns false and no retries for an ID
// that is not running here.
func (p *AllowancePool) Borrow(id string) (Allowance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return Allowance{}, false
	}
	a := e.WithRetries(e.Retries - e.Retries/2)
	e.Retries /= 2
	return a, true
}

// Return adds the retries left of a borrowed allowance when its call ends. They are
// lost if the request was removed before.
func (p *AllowancePool) Return(id string, a Allowance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		e.addRetries(a.Retries)
	}
}

// Remove removes one running request with the ID and returns the retries to return
// with its answer. Of several requests with one ID, the last one gets them.
func (p *AllowancePool) Remove(id string) uint8 {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return 0
	}
	if e.requests--; e.requests > 0 {
		return 0
	}
	delete(p.entries, id)
	return e.Retries
}

// merge adds another request with the same ID. Callers choose the IDs, so the two
// may be unrelated, and neither may shorten the deadline of the other's calls.
func (e *poolEntry) merge(a Allowance) {
	e.requests++
	e.addRetries(a.Retries)
	e.Hop = max(e.Hop, a.Hop)
	if a.Deadline.IsZero() || !e.Deadline.IsZero() && a.Deadline.After(e.Deadline) {
		e.Deadline = a.Deadline
	}
}

func (e *poolEntry) addRetries(n uint8) { e.Retries = uint8(min(int(e.Retries)+int(n), 255)) }
