package retry

import (
	"slices"
	"sync"
	"time"
)

// MaxAttempts bounds the attempts of one request at one node.
const MaxAttempts = 4

// Attempts tracks the attempts of one request at one node. Start sets the
// allowance it came with; the zero value has none.
//
// Invariant: kept and all of lent together are at most the allowance of Start.
type Attempts struct {
	mu         sync.Mutex
	kept       Allowance
	servers    [MaxAttempts]string
	lent       [MaxAttempts]uint8
	n          int
	permitted  int // attempts permitted beyond the first
	handedOver bool
}

// Start sets the allowance that the request came with.
func (t *Attempts) Start(a Allowance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = a
}

// Send records an attempt at the server and returns the allowance to send
// along. It is false for a server that had an attempt before, and without a
// permission of Retry or Hedge after the first attempt.
func (t *Attempts) Send(server string) (Allowance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n > t.permitted || t.n == MaxAttempts || slices.Contains(t.servers[:t.n], server) {
		return Allowance{}, false
	}
	kept, lent := t.kept.lend()
	t.kept = kept
	t.servers[t.n], t.lent[t.n] = server, lent.Retries
	t.n++
	return lent, true
}

// Answer takes back what the answer of a server returned, at most what was
// sent along. It is not called for an attempt without an answer: what went
// along may have been spent.
func (t *Attempts) Answer(server string, retries uint8) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.servers[:t.n], server); i >= 0 {
		t.kept.Retries += min(retries, t.lent[i])
		t.lent[i] = 0
	}
}

// Retry decides whether the request may be sent to another server. A refused
// request is handed over at most once; that costs nothing if the server is
// leaving, since each planned drain would otherwise use up the budget.
func (t *Attempts) Retry(b *Budget, idempotent bool, c Cause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.n == MaxAttempts || c.refused() && t.handedOver {
		return false
	}
	if c != Leaving || t.kept.expired(now) {
		left, ok := b.Spend(t.kept, idempotent, c, now)
		if !ok {
			return false
		}
		t.kept = left
	}
	t.handedOver = t.handedOver || c.refused()
	t.permitted = t.n
	return true
}

// Hedge decides whether a second attempt may run beside the first. Only the
// first attempt of an idempotent request is hedged.
func (t *Attempts) Hedge(h *Hedger, c HedgeCall, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.Idempotent || t.n != 1 || t.permitted > 0 || t.kept.Retries == 0 || t.kept.expired(now) || !h.take(c) {
		return false
	}
	t.kept.Retries--
	t.permitted = t.n
	return true
}

// Tried appends the servers that had an attempt; placement excludes them.
func (t *Attempts) Tried(buf []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(buf, t.servers[:t.n]...)
}

// Left returns the allowance that goes back with the answer.
func (t *Attempts) Left() Allowance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept
}
