package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// MaxAttempts is the largest number of attempts of one request at one node, without
	// those that a leaving node refused.
	MaxAttempts = 4
	// MaxLeaving is the largest number of further attempts for those that a leaving node
	// refused. Several nodes may stop at once before this one learns of it.
	MaxLeaving = 8
)

// Attempts tracks the attempts of one request at one node. Start sets the allowance
// that the request arrived with; the zero value has none.
//
// Invariant: the sum of kept and all of forwarded is at most the allowance of Start.
type Attempts struct {
	mu        sync.Mutex
	kept      Allowance
	servers   [MaxAttempts + MaxLeaving]string
	forwarded [MaxAttempts + MaxLeaving]uint8
	sent      int
	permitted int // attempts permitted beyond the first
	// leaving counts the attempts that leaving nodes refused, at most MaxLeaving.
	leaving int
	// overloaded is set by the handover after a refusal because of overload.
	overloaded bool
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
	if t.sent > t.permitted || t.exhausted() || slices.Contains(t.servers[:t.sent], server) {
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

// Retry reports whether the request may be sent to another server. A request refused
// because of overload is handed over at most once. A handover costs no retry if the
// node is leaving, since each planned stop would otherwise use up the budget, and
// there may be one for each leaving node, since nothing has run there.
func (t *Attempts) Retry(b *Budget, idempotent bool, c Cause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := c == Leaving && !t.kept.expired(now)
	if free && t.leaving < MaxLeaving {
		t.leaving++
	}
	if t.exhausted() || c == Overloaded && t.overloaded {
		return false
	}
	if !free {
		left, ok := b.Spend(t.kept, idempotent, c, now)
		if !ok {
			return false
		}
		t.kept = left
	}
	t.overloaded = t.overloaded || c == Overloaded
	t.permitted = t.sent
	return true
}

// exhausted reports whether no further attempt may be made.
func (t *Attempts) exhausted() bool { return t.sent-t.leaving >= MaxAttempts }

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
