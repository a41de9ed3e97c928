package placement

import (
	"slices"
	"time"
)

const (
	// maxHandBacks is how often a request is handed back before it waits at a
	// server; each costs a round trip.
	maxHandBacks = 5
	// maxTurnAways is how many servers that seemed best may turn a request away
	// before the caller is told.
	maxTurnAways = 2
)

// Search is the way of one request from server to server. The zero value has
// asked none.
//
// Load pattern: what a node knows of the servers is older than their slow spells,
// so the first choice is often slow or full. A request that was handed back goes
// on to the next server, and after a few trips, or where the rest is known to be
// full, to one that keeps it in line.
type Search struct {
	// back lists servers that handed the request back, failed those that will not
	// be tried again.
	back, failed []string
}

// Next picks the server to ask. With last set the request should wait there,
// because no other will be asked. It is false when there is none left.
func (s *Search) Next(c *Costs, servers []Server, r Request, now time.Time) (choice Choice, last, ok bool) {
	r.Tried = s.back
	choice, ok = c.Pick(s.without(servers), r, now)
	last = choice.Tried || choice.Untried == 0 || len(s.back) >= maxHandBacks || choice.Server.Full(now)
	return choice, last, ok
}

// HandedBack notes a server that has no free or fast slot at the moment.
func (s *Search) HandedBack(id string) { s.back = append(s.back, id) }

// Failed notes a server that will not be tried again.
func (s *Search) Failed(id string) { s.failed = append(s.failed, id) }

// HasCapacityElsewhere reports whether some server may still have room, though the one
// that seemed best has turned the request away.
func (s *Search) HasCapacityElsewhere(c *Costs, servers []Server, r Request, now time.Time) bool {
	if len(s.failed) > maxTurnAways {
		return false
	}
	choice, _, ok := s.Next(c, servers, r, now)
	return ok && !choice.Tried && !choice.Server.Full(now)
}

// without removes the servers that failed, in place.
func (s *Search) without(servers []Server) []Server {
	if len(s.failed) == 0 {
		return servers
	}
	return slices.DeleteFunc(servers, func(server Server) bool { return slices.Contains(s.failed, server.ID) })
}
