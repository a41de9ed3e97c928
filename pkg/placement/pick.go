// Package placement picks the backend server for a request from what a node
// knows of the servers. It does no I/O; the caller passes the time.
package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Distance is how far a server is from the node that places a request.
type Distance uint8

// Distances, nearest first.
const (
	SameHost Distance = iota
	SameDomain
	SameRegion
	OtherRegion
)

// Costs turn distance and size into time, so that they compare with waiting.
type Costs struct {
	// RoundTrip is the time of one round trip by distance.
	RoundTrip [4]time.Duration
	// PerKB is the waiting that moving a kilobyte by distance is worth.
	PerKB [4]time.Duration
}

// DefaultCosts are those of failure domains 1 ms apart and regions 8 ms apart,
// where traffic between regions is billed by volume.
var DefaultCosts = Costs{
	RoundTrip: [4]time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond, 17 * time.Millisecond},
	PerKB:  [4]time.Duration{0, 0, time.Millisecond, 8 * time.Millisecond},
}

// Server is what a node knows of one backend server.
type Server struct {
	ID       string
	Distance Distance
	// Running, Limit, Pace and Wait are the figures of the last answer or refusal.
	Running, Limit int
	Slowdown           float64
	Wait           time.Duration
	// Unhealthy is set when the server's answers fail often.
	Unhealthy bool
	// Seen is when these figures came; zero means never.
	Seen time.Time
	// LocalInFlight is the number of this node's requests at the server that began after Seen.
	LocalInFlight int
	// Unreachable is set while the node beside the server cannot be reached.
	Unreachable bool
	// Avoid is until when the server should get no requests, because its answers
	// fail.
	Avoid time.Time
	// WarmingUntil is when the server has warmed up after its start.
	WarmingUntil time.Time
}

// Request is what matters of a request.
type Request struct {
	// Bytes is the size of the body and the expected size of the answer.
	Bytes int
	// Work is the usual duration of such a request.
	Work time.Duration
	// Tried lists the servers that have handed the request back. What they told
	// then is known, so that waiting at one of them compares with moving on.
	Tried []string
	// Random returns a random number below n, which breaks ties; nil means that of
	// math/rand.
	Random func(n int64) int64
}

// Choice is the server that was picked, with the numbers that decided.
type Choice struct {
	Server Server
	Score  time.Duration
	// Known is false when nothing was heard from the server yet.
	Known bool
	// Tried is set when the server has handed the request back before.
	Tried bool
	// Untried is the number of servers that were not tried, without this one.
	Untried int
}

const (
	// loadMemory is how long a load figure says something about a server.
	loadMemory = time.Second
	// paceMemory is how long a slow spell is expected to last after it was seen.
	paceMemory = 150 * time.Millisecond
	// slowPace is the pace from which a server counts as in a slow spell.
	slowPace = 2.0
	// crowd is what a server with all slots busy is worse than an idle one, beyond
	// the waiting; it is a little more than a trip to the next failure domain with
	// a small answer, so that load spreads over a region first.
	crowd = 25 * time.Millisecond
	// coldCost is what a server that warms up is worse.
	coldCost = 40 * time.Millisecond
	// ailingCost is what a server whose answers fail is worse.
	ailingCost = 150 * time.Millisecond
	// jitter breaks ties between equal servers, so that nodes do not all pick the
	// same one.
	jitter = 1500 * time.Microsecond
	// avoidCost keeps a failing server behind all others without excluding it
	// where there is no other.
	avoidCost = 10 * time.Second
	// outCost keeps a server that cannot be reached behind those that fail.
	outCost = time.Minute
)

// Pick returns the server with the least expected cost.
//
// Load pattern: figures about a server are tens of milliseconds old, spells of
// slowness last 150 ms, and many nodes place at the same time. A figure
// therefore loses weight with its age, the requests that this node sent since
// then count on top, and ties are broken at random.
func (c *Costs) Pick(servers []Server, r Request, now time.Time) (Choice, bool) {
	best, found := Choice{}, false
	others := 0
	for i := range servers {
		s := &servers[i]
		tried := slices.Contains(r.Tried, s.ID)
		if !tried {
			others++
		}
		score := c.score(s, r, now)
		if !found || score < best.Score {
			best = Choice{Server: *s, Score: score, Known: !s.Seen.IsZero(), Tried: tried}
			found = true
		}
	}
	best.Untried = others
	if found && !best.Tried {
		best.Untried--
	}
	return best, found
}

func (c *Costs) score(s *Server, r Request, now time.Time) time.Duration {
	score := c.RoundTrip[s.Distance] + c.PerKB[s.Distance]*time.Duration(r.Bytes)/1024
	draw := r.Random
	if draw == nil {
		draw = rand.Int64N
	}
	score += time.Duration(draw(int64(jitter)))
	if now.Before(s.Avoid) {
		score += avoidCost
	}
	if s.Unreachable {
		score += outCost
	}
	if now.Before(s.WarmingUntil) {
		score += coldCost
	}
	return score + s.pressure(r.Work, now)
}

// pressure is the time that the server's load is expected to cost.
func (s *Server) pressure(work time.Duration, now time.Time) time.Duration {
	limit := max(s.Limit, 1)
	if s.Seen.IsZero() || now.Sub(s.Seen) > loadMemory {
		return crowd * time.Duration(s.LocalInFlight) / time.Duration(limit+s.LocalInFlight)
	}
	age := now.Sub(s.Seen)
	freshness := 1 - float64(age)/float64(loadMemory)
	busy := float64(s.Running)*freshness + float64(s.LocalInFlight)
	cost := time.Duration(float64(crowd) * busy / float64(limit))
	cost += max(s.Wait-age, 0)
	if s.Unhealthy {
		cost += ailingCost
	}
	if s.Slowdown >= slowPace && age < paceMemory {
		left := float64(paceMemory-age) * (1 - 1/s.Slowdown)
		cost += min(time.Duration(left), time.Duration(float64(work)*(s.Slowdown-1)))
	}
	return cost
}

// Full reports whether the server is known to have no free slot.
func (s *Server) Full(now time.Time) bool {
	age := now.Sub(s.Seen)
	return !s.Seen.IsZero() && age < s.Wait
}
