// Package placement picks the backend server for a request from the load figures
// that a node has of the servers. It does no I/O; the caller passes the time.
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

// Costs converts distance and size to time, so that they can be compared with
// waiting.
type Costs struct {
	// RoundTrip is the time of one round trip by distance.
	RoundTrip [4]time.Duration
	// PerKB is the waiting time that is accepted to avoid moving a kilobyte, by
	// distance.
	PerKB [4]time.Duration
}

// DefaultCosts assume failure domains 1 ms apart and regions 8 ms apart, where
// traffic between regions is billed by volume.
var DefaultCosts = Costs{
	RoundTrip: [4]time.Duration{0, 300 * time.Microsecond, 2 * time.Millisecond, 17 * time.Millisecond},
	PerKB:     [4]time.Duration{0, 0, time.Millisecond, 8 * time.Millisecond},
}

// Server holds what a node knows of one backend server.
type Server struct {
	ID       string
	Distance Distance
	// Running, Limit, Slowdown, SlowFor, Wait and Backlog are the figures of the last
	// answer or refusal.
	Running, Limit int
	Slowdown       float64
	// SlowFor is how long after Seen the server may still be in a slow period.
	SlowFor time.Duration
	Wait    time.Duration
	// Backlog is how long a large answer waits for the link of the server's host.
	Backlog time.Duration
	// Unhealthy is set when the server's failure rate is high.
	Unhealthy bool
	// Seen is when these figures arrived; zero means never.
	Seen time.Time
	// LocalInFlight is the number of this node's requests at the server that started
	// after Seen.
	LocalInFlight int
	// Unreachable is set while the node beside the server cannot be reached.
	Unreachable bool
	// Avoid is the time until which the server should get no requests, because its
	// answers fail.
	Avoid time.Time
	// WarmingUntil is when the server will have warmed up after its start.
	WarmingUntil time.Time
}

// Request holds the properties of a request that matter for placement.
type Request struct {
	// Bytes is the size of the body plus the expected size of the answer.
	Bytes int
	// LargeAnswer is set if the answer waits for the link of the server's host.
	LargeAnswer bool
	// Work is the usual duration of such a request.
	Work time.Duration
	// Tried lists the servers that have handed the request back. Their load figures
	// are fresh, so waiting at one of them can be compared with trying another.
	Tried []string
	// Random returns a random number below n to break ties; nil means math/rand.
	Random func(n int64) int64
}

// Choice is the server that was picked, with the figures behind the decision.
type Choice struct {
	Server Server
	Score  time.Duration
	// Known is false if no load figures of the server have arrived yet.
	Known bool
	// Tried is set if the server has handed the request back before.
	Tried bool
	// Untried is the number of other servers that were not tried yet.
	Untried int
}

const (
	// maxLoadAge is how long the load figures of a server are used.
	maxLoadAge = time.Second
	// fullLoadCost is the cost of a server with all slots busy over an idle one,
	// beyond the wait. It is a little more than a round trip to the next failure
	// domain with a small answer, so that load spreads over a region first.
	fullLoadCost = 25 * time.Millisecond
	// warmUpCost is the cost of a server that is warming up.
	warmUpCost = 40 * time.Millisecond
	// unhealthyCost is the cost of a server whose failure rate is high.
	unhealthyCost = 150 * time.Millisecond
	// jitter is the range of a random cost that breaks ties between equal servers,
	// so that nodes do not all pick the same one.
	jitter = 1500 * time.Microsecond
	// avoidCost ranks a failing server behind all healthy ones without excluding it
	// if there is no other.
	avoidCost = 10 * time.Second
	// unreachableCost ranks a server that cannot be reached behind those that fail.
	unreachableCost = time.Minute
)

// Pick returns the server with the lowest expected cost.
//
// Load pattern: load figures are tens of milliseconds old, slow periods last 150 ms,
// and many nodes place requests at the same time. The weight of a figure therefore
// falls with its age, down to what the fresh figures of the other servers say, the
// requests that this node has sent since then are added, and ties are broken at random.
func (c *Costs) Pick(servers []Server, r Request, now time.Time) (Choice, bool) {
	return c.pick(servers, newOutlook(servers, now), r, now)
}

func (c *Costs) pick(servers []Server, o outlook, r Request, now time.Time) (Choice, bool) {
	best, found := Choice{}, false
	untried := 0
	unknownCosts := o.costs()
	for i := range servers {
		s := &servers[i]
		tried := slices.Contains(r.Tried, s.ID)
		if !tried {
			untried++
		}
		score := c.score(s, r, now)
		if cost := unknownCosts[s.Distance]; cost > 0 && !s.failing(now) {
			score += time.Duration((1 - s.freshness(now)) * float64(cost))
		}
		if !found || score < best.Score {
			best = Choice{Server: *s, Score: score, Known: !s.Seen.IsZero(), Tried: tried}
			found = true
		}
	}
	best.Untried = untried
	if found && !best.Tried {
		best.Untried--
	}
	return best, found
}

func (c *Costs) score(s *Server, r Request, now time.Time) time.Duration {
	score := c.RoundTrip[s.Distance] + c.PerKB[s.Distance]*time.Duration(r.Bytes)/1024
	random := r.Random
	if random == nil {
		random = rand.Int64N
	}
	score += time.Duration(random(int64(jitter)))
	if now.Before(s.Avoid) {
		score += avoidCost
	}
	if s.Unreachable {
		score += unreachableCost
	}
	if now.Before(s.WarmingUntil) {
		score += warmUpCost
	}
	if r.LargeAnswer && !s.Seen.IsZero() {
		score += max(s.Backlog-now.Sub(s.Seen), 0)
	}
	return score + s.loadCost(r.Work, now)
}

// fresh reports whether the load figures of the server are used.
func (s *Server) fresh(now time.Time) bool { return !s.Seen.IsZero() && now.Sub(s.Seen) <= maxLoadAge }

// freshness returns the weight of the server's load figures: 1 when they have just
// arrived, 0 when they are missing or old.
func (s *Server) freshness(now time.Time) float64 {
	return max(1-float64(now.Sub(s.Seen))/float64(maxLoadAge), 0)
}

// loadCost returns the expected delay because of the server's load.
func (s *Server) loadCost(work time.Duration, now time.Time) time.Duration {
	limit := max(s.Limit, 1)
	if !s.fresh(now) {
		return fullLoadCost * time.Duration(s.LocalInFlight) / time.Duration(limit+s.LocalInFlight)
	}
	age := now.Sub(s.Seen)
	busy := float64(s.Running)*s.freshness(now) + float64(s.LocalInFlight)
	cost := time.Duration(float64(fullLoadCost) * busy / float64(limit))
	cost += max(s.Wait-age, 0)
	if s.Unhealthy {
		cost += unhealthyCost
	}
	if age < s.SlowFor && s.Slowdown > 1 {
		remaining := float64(s.SlowFor-age) * (1 - 1/s.Slowdown)
		cost += min(time.Duration(remaining), time.Duration(float64(work)*(s.Slowdown-1)))
	}
	return cost
}

// failing reports whether the server is known to fail many of its requests. If such a
// server is the best, all others fail too, and it would hand the request back.
func (s *Server) failing(now time.Time) bool {
	return s.Unhealthy && s.fresh(now)
}

// Full reports whether the server is known to have no free slot.
func (s *Server) Full(now time.Time) bool {
	age := now.Sub(s.Seen)
	return !s.Seen.IsZero() && age < s.Wait
}
