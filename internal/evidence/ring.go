package evidence

import (
	"strings"
	"sync"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// RingSize is the number of decisions that a node keeps.
const RingSize = 4096

const (
	// maxNames bounds the names of services, classes and tenants that decisions
	// share; maxName bounds the length of one, as for labels of requests.
	maxNames = 1024
	maxName  = 64
)

// Seq names a decision in a ring. The zero value names none.
type Seq uint64

// Ring keeps the newest decisions. The zero value is an empty ring that
// allocates its entries with the first decision.
type Ring struct {
	mu sync.Mutex
	// entries has Kept entries; the decision of step s is at (s-1) mod Kept.
	entries []Decision
	// last is the newest step, and the number of decisions ever recorded.
	last Seq
	// names holds one copy of each name, at most maxNames.
	names map[string]string
}

// Begin records a decision; the oldest one is overwritten when the ring is full.
func (r *Ring) Begin(d Decision) Seq {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries, r.names = make([]Decision, RingSize), make(map[string]string)
	}
	d.Service, d.Class, d.Tenant = r.name(d.Service), r.name(d.Class), r.name(d.Tenant)
	r.last++
	*r.at(r.last) = d
	return r.last
}

// End records how a decision ended. A decision that was overwritten since is
// left alone.
func (r *Ring) End(s Seq, result Result, kind fault.Kind, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == 0 || s > r.last || r.last-s >= RingSize {
		return
	}
	d := r.at(s)
	d.Result, d.Kind, d.Latency = result, kind, latency
}

// name returns the ring's own copy of a name. The service is part of the path of
// a request, so a decision that kept it would keep a URI of up to 64 KB.
func (r *Ring) name(s string) string {
	s = s[:min(len(s), maxName)]
	if own, ok := r.names[s]; ok {
		return own
	}
	own := strings.Clone(s)
	if len(r.names) < maxNames {
		r.names[own] = own
	}
	return own
}

func (r *Ring) at(s Seq) *Decision { return &r.entries[(s-1)%RingSize] }

// Recent returns up to n decisions that match, newest first.
func (r *Ring) Recent(n int, match func(*Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for s := r.last; s > 0 && r.last-s < RingSize && len(found) < n; s-- {
		if d := r.at(s); match == nil || match(d) {
			found = append(found, *d)
		}
	}
	return found
}
