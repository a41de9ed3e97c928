// Package lag tracks for how long a node knows of newer versions than the one that it
// has. It does no I/O; the caller passes the time.
package lag

import (
	"sync"
	"time"
)

// maxSightings bounds the versions that are tracked at a time.
const maxSightings = 64

// Tracker tracks which newer versions are known. The zero value has the version 0 and is
// not behind. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	version uint64
	// newer holds the known versions above version in ascending order. A version is known
	// no later than those above it.
	newer []sighting
}

type sighting struct {
	version uint64
	at      time.Time
}

// Seen records that a version exists, and reports whether it is newer than all that were
// known.
func (t *Tracker) Seen(version uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.version || len(t.newer) > 0 && version <= t.newer[len(t.newer)-1].version {
		return false
	}
	if len(t.newer) == maxSightings {
		// The later of two sightings is dropped, so that the lag is never understated.
		t.newer[maxSightings-1].version = version
		return true
	}
	t.newer = append(t.newer, sighting{version, now})
	return true
}

// Applied records that the node has a version, and returns for how long it was behind.
func (t *Tracker) Applied(version uint64, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	behind := t.behind(now)
	t.version = max(t.version, version)
	n := 0
	for n < len(t.newer) && t.newer[n].version <= t.version {
		n++
	}
	t.newer = t.newer[n:]
	return behind
}

// Behind returns for how long a newer version has been known; zero if none is.
func (t *Tracker) Behind(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behind(now)
}

// Newest returns the newest known version.
func (t *Tracker) Newest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.newer) > 0 {
		return t.newer[len(t.newer)-1].version
	}
	return t.version
}

func (t *Tracker) behind(now time.Time) time.Duration {
	if len(t.newer) == 0 {
		return 0
	}
	return now.Sub(t.newer[0].at)
}
