package backend

import (
	"slices"
	"sync"
)

// maxSentIDs is how many requests back a late answer is recognized. A server runs a few
// dozen at a time.
const maxSentIDs = 256

// sentIDs holds the IDs of the last requests to a server. Its zero value is empty.
type sentIDs struct {
	mu   sync.Mutex
	ids  []string
	next int
}

func (s *sentIDs) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ids) < maxSentIDs {
		s.ids = append(s.ids, id)
		return
	}
	s.ids[s.next] = id
	s.next = (s.next + 1) % maxSentIDs
}

func (s *sentIDs) contains(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.ids, id)
}
