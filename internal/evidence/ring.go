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
	// maxNames is the maximum number of interned names of services, classes and
	// tenants. maxName is the maximum length of one, as for the labels of
	// requests.
	maxNames = 1024
	maxName  = 64
)

// Seq is the sequence number of a decision in a ring. Zero means no decision.
type Seq uint64

// Ring is a ring buffer of the newest decisions. The zero value is an empty ring,
// which allocates its entries with the first decision. It is safe for concurrent
// use.
type Ring struct {
	mu sync.Mutex
	// entries has RingSize entries; decision s is at index (s-1) mod RingSize.
	entries []Decision
	// last is the newest sequence number, which is also the total number of
	// decisions recorded.
	last Seq
	// names holds the interned names, at most maxNames.
	names map[string]string
}

// Begin records a decision. If the ring is full, it overwrites the oldest one.
func (r *Ring) Begin(d Decision) Seq {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries, r.names = make([]Decision, RingSize), make(map[string]string)
	}
	d.Service, d.Class, d.Tenant = r.intern(d.Service), r.intern(d.Class), r.intern(d.Tenant)
	r.last++
	*r.entry(r.last) = d
	return r.last
}

// End records the result of a decision. It does nothing if the decision has been
// overwritten.
func (r *Ring) End(s Seq, result Result, kind fault.Kind, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == 0 || s > r.last || r.last-s >= RingSize {
		return
	}
	d := r.entry(s)
	d.Result, d.Kind, d.Latency = result, kind, latency
}

// intern returns the ring's copy of a name. The name of a service is a substring of
// the request URI, so a decision that referred to it would keep the whole URI, of
// up to 64 KB, in memory.
func (r *Ring) intern(s string) string {
	s = s[:min(len(s), maxName)]
	if interned, ok := r.names[s]; ok {
		return interned
	}
	interned := strings.Clone(s)
	if len(r.names) < maxNames {
		r.names[interned] = interned
	}
	return interned
}

func (r *Ring) entry(s Seq) *Decision { return &r.entries[(s-1)%RingSize] }

// Recent returns up to n decisions that match, newest first.
func (r *Ring) Recent(n int, match func(*Decision) bool) []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for s := r.last; s > 0 && r.last-s < RingSize && len(found) < n; s-- {
		if d := r.entry(s); match == nil || match(d) {
			found = append(found, *d)
		}
	}
	return found
}
