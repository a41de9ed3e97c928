package retry

import (
	"slices"
	"sync"
	"time"
)

// MaxAttempts is the largest number of attempts of one request at one node.
const MaxAttempts = 4

// Attempts tracks the attempts of one request at one node. Start sets the allowance
// that the request arrived with; the zero value has none.
//
// Invariant: the sum of kept and all of forwarded is at most the allowance of Start.
type Attempts struct {
	mu         sync.Mutex
	kept       Allowance
	servers    [MaxAttempts]string
	forwarded  [MaxAttempts]uint8
	sent       int
	permitted  int // attempts permitted beyond the first
	handedOver bool
}

// Start sets the allowance that the request arrived with.
func (t *Attempts) Start(a Allowance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = a
}

// Send records an attempt at the server and returns the allowance to forward with
// it. It returns false for a server that already had an attempt, and for any attempt
// after the first that neither Retry nor Hedge permitted.
func (t *Attempts) Send(server string) (Allowance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent > t.permitted || t.sent == MaxAttempts || slices.Contains(t.servers[:t.sent], server) {
		return Allowance{}, false
	}
	kept, forwarded := t.kept.split()
	t.kept = kept
	t.servers[t.sent], t.forwarded[t.sent] = server, forwarded.Retries
	t.sent++
	return forwarded, true
}

// Answer adds the retries returned with the answer of a server, at most as many as
// were forwarded. It is not called for an attempt without an answer, since the
// forwarded retries may have been spent.
func (t *Attempts) Answer(server string, retries uint8) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.servers[:t.sent], server); i >= 0 {
		t.kept.Retries += min(retries, t.forwarded[i])
		t.forwarded[i] = 0
	}
}

// Retry reports whether the request may be sent to another server. A refused
// request is handed over at most once. The handover costs no retry if the server is
// draining, since each planned drain would otherwise use up the budget.
func (t *Attempts) Retry(b *Budget, idempotent bool, c Cause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sent == MaxAttempts || c.refused() && t.handedOver {
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
	t.permitted = t.sent
	return true
}

// Hedge reports whether a second attempt may run in parallel with the first. Only
// the first attempt of an idempotent request is hedged.
func (t *Attempts) Hedge(h *Hedger, c HedgeCall, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.Idempotent || t.sent != 1 || t.permitted > 0 || t.kept.Retries == 0 || t.kept.expired(now) || !h.take(c) {
		return false
	}
	t.kept.Retries--
	t.permitted = t.sent
	return true
}

// Tried appends to buf the servers that had an attempt; placement excludes them.
func (t *Attempts) Tried(buf []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(buf, t.servers[:t.sent]...)
}

// Left returns the allowance that is returned with the answer.
func (t *Attempts) Left() Allowance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept
}
