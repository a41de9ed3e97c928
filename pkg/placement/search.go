package placement

import (
	"slices"
	"time"
)

const (
	// maxHandBacks is how often a request may be handed back before it waits at a
	// server. Each time costs a round trip.
	maxHandBacks = 5
	// maxRefusals is how many servers that seemed best may refuse a request before
	// the caller gets the refusal.
	maxRefusals = 2
)

// Search is the sequence of servers that one request tries. The zero value has tried
// none.
//
// Load pattern: the figures of a node are older than the slow periods of the
// servers, so the first choice is often slow or full. A request that was handed back
// goes on to the next server. After a few round trips, or if the remaining servers
// are known to be full or to fail or are expected to fail, it goes to one that takes it.
type Search struct {
	// handedBack lists servers that handed the request back, failed those that will
	// not be tried again.
	handedBack, failed []string
}

// Next picks the server to try. If last is set, the request should wait there,
// because no other server will be tried. ok is false if none is left.
func (s *Search) Next(c *Costs, servers []Server, r Request, now time.Time) (choice Choice, last, ok bool) {
	r.Tried = s.handedBack
	o := newOutlook(servers, now)
	choice, ok = c.pick(s.withoutFailed(servers), o, r, now)
	last = choice.Tried || choice.Untried == 0 || len(s.handedBack) >= maxHandBacks || choice.Server.Full(now) || choice.Server.failing(now) ||
		!choice.Server.fresh(now) && o.hopeless(choice.Server.Distance)
	return choice, last, ok
}

// HandedBack records a server that is full or slow at the moment.
func (s *Search) HandedBack(id string) { s.handedBack = append(s.handedBack, id) }

// Failed records a server that will not be tried again.
func (s *Search) Failed(id string) { s.failed = append(s.failed, id) }

// HasCapacityElsewhere reports whether another server may have a free slot, although
// the one that seemed best has refused the request.
func (s *Search) HasCapacityElsewhere(c *Costs, servers []Server, r Request, now time.Time) bool {
	if len(s.failed) > maxRefusals {
		return false
	}
	choice, _, ok := s.Next(c, servers, r, now)
	return ok && !choice.Tried && !choice.Server.Full(now)
}

// withoutFailed removes the failed servers in place.
func (s *Search) withoutFailed(servers []Server) []Server {
	if len(s.failed) == 0 {
		return servers
	}
	return slices.DeleteFunc(servers, func(server Server) bool { return slices.Contains(s.failed, server.ID) })
}
