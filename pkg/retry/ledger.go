package retry

import "sync"

// maxAccounts bounds the memory of a Ledger; a server has at most some dozen
// requests in flight.
const maxAccounts = 1024

// AllowancePool holds the allowances of the requests that the local backend server
// is running. The server's own calls draw on them by request ID, so that a
// server that fans out to several calls, and copies its headers to each, does
// not multiply its allowance. The zero value works.
type AllowancePool struct {
	mu       sync.Mutex
	accounts map[string]*account
}

// account is shared by all running requests with one ID.
type account struct {
	Allowance
	open int
}

// Add makes the allowance available to the calls that the server makes for
// the request. It is false if the ledger is full; the caller then keeps the
// allowance and does not call Close.
func (l *AllowancePool) Add(id string, a Allowance) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.accounts[id]; known != nil {
		known.join(a)
		return true
	}
	if len(l.accounts) >= maxAccounts {
		return false
	}
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	l.accounts[id] = &account{Allowance: a, open: 1}
	return true
}

// Borrow returns the allowance of one call that the server makes for the
// request: half of what is left, rounded up. It is false, with no retries, for
// an ID that is not running here.
func (l *AllowancePool) Borrow(id string) (Allowance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.accounts[id]
	if k == nil {
		return Allowance{}, false
	}
	a := k.WithRetries(k.Retries - k.Retries/2)
	k.Retries /= 2
	return a, true
}

// Return takes back what is left of a borrowed allowance when its call ends.
// What returns after Close is void.
func (l *AllowancePool) Return(id string, a Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.accounts[id]; k != nil {
		k.add(a.Retries)
	}
}

// Remove ends one running request with the ID and returns the retries that go
// back with its answer. Of several with one ID, the last gets them.
func (l *AllowancePool) Remove(id string) uint8 {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.accounts[id]
	if k == nil {
		return 0
	}
	if k.open--; k.open > 0 {
		return 0
	}
	delete(l.accounts, id)
	return k.Retries
}

// join adds another request with the same ID. Callers choose the IDs, so the
// two may be unrelated, and neither may shorten the other's calls.
func (k *account) join(a Allowance) {
	k.open++
	k.add(a.Retries)
	k.Hop = max(k.Hop, a.Hop)
	if a.Deadline.IsZero() || !k.Deadline.IsZero() && a.Deadline.After(k.Deadline) {
		k.Deadline = a.Deadline
	}
}

func (k *account) add(n uint8) { k.Retries = uint8(min(int(k.Retries)+int(n), 255)) }
