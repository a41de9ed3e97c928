// Package lag tracks for how long a node knows of newer versions than the one that it
// has. It does no I/O; the caller passes the time.
package lag

import (
	"sync"
	"time"
)

const (
	// maxSightings bounds the versions that are tracked at a time.
	maxSightings = 64
	// signAge is how long a report of a newer version counts. Nodes that exchange requests
	// report it many times a second.
	signAge = time.Second
)

// Tracker tracks which newer versions are known. The zero value has the version 0 and is
// not behind. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	version uint64
	// newer holds the known versions above version in ascending order. A version is known
	// no later than those above it.
	newer []sighting
	// lastSign is when a newer version was last reported.
	lastSign time.Time
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
	if version > t.version {
		t.lastSign = now
	}
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

// Outdated reports whether the node must not use its version any more: a newer one has been
// known for longer than limit, and was reported within signAge. A node that is told nothing
// cannot know whether it is behind, and goes on with what it has.
func (t *Tracker) Outdated(now time.Time, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit > 0 && t.behind(now) >= limit && now.Sub(t.lastSign) < signAge
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
