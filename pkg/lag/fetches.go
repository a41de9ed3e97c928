package lag

import (
	"sync"
	"time"
)

const (
	// FetchTimeout bounds a fetch of a version from another node. A node that is lost is
	// noticed sooner, by its connection; one that answers may have a link that is busy for
	// seconds.
	FetchTimeout = 10 * time.Second
	// patience is how long a fetch may take before another node is asked too, and
	// maxFetches how many are asked at a time.
	patience   = time.Second
	maxFetches = 3
)

// Fetches decides which nodes are asked for a newer version. The zero value is ready to
// use. It is safe for concurrent use.
type Fetches struct {
	mu sync.Mutex
	// running holds the nodes that are asked, at most maxFetches.
	running map[string]bool
	// last is when the last fetch began.
	last time.Time
}

// Begin reports whether a node is to be asked now; End must follow if it is.
func (f *Fetches) Begin(node string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[node] || len(f.running) >= maxFetches || len(f.running) > 0 && now.Sub(f.last) < patience {
		return false
	}
	if f.running == nil {
		f.running = make(map[string]bool)
	}
	f.running[node], f.last = true, now
	return true
}

// End records that a node is no longer asked.
func (f *Fetches) End(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, node)
}
