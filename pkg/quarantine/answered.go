package quarantine

import "time"

const (
	// answerTTL is how long an answered request is left out of incidents. A request
	// whose content crashes servers crashes every one, so it is never answered.
	answerTTL = time.Minute
	// answerCacheSize bounds the memory to 32 KB. A node receives a few dozen
	// different popular requests a minute.
	answerCacheSize = 1 << 10
)

// answerCache stores which requests a server answered recently. It is direct-mapped:
// of two requests with the same index, the later one is kept.
type answerCache struct {
	entries []answerEntry
}

type answerEntry struct {
	fingerprint Fingerprint
	at          time.Time
}

func (a *answerCache) add(p Fingerprint, now time.Time) {
	if a.entries == nil {
		a.entries = make([]answerEntry, answerCacheSize)
	}
	a.entries[p%answerCacheSize] = answerEntry{p, now}
}

func (a *answerCache) has(p Fingerprint, now time.Time) bool {
	if a.entries == nil {
		return false
	}
	s := a.entries[p%answerCacheSize]
	return s.fingerprint == p && !s.at.IsZero() && now.Sub(s.at) < answerTTL
}
