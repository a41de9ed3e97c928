package store

import (
	"fmt"
	"maps"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// Default rate limits in requests per second, as on the platform. Requests above them
// are answered with status 429.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
)

// Fault holds the fault switches of one service. The zero value is a healthy
// service with the default rate limits.
type Fault struct {
	// Down answers all requests with status 503 and does not run them.
	Down bool `json:"down"`
	// Silent accepts requests but neither runs nor answers them.
	Silent bool `json:"silent"`
	// Slow is a delay before each operation. The operation is run even if the client
	// has closed the connection during the delay.
	Slow time.Duration `json:"slow"`
	// Lose is the number of writes that are applied but not answered: the connection
	// is closed instead.
	Lose int `json:"lose"`
	// Writes and Reads are rate limits in requests per second. Zero selects the
	// defaults.
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
}

// Counts holds the number of operations and injected faults since the start of a
// service. Operations are get, put, delete and list; faults are down, silent, slow,
// lost, late (a write applied after the client closed the connection) and
// throttled.
type Counts struct {
	Operations map[string]int `json:"operations"`
	Faults     map[string]int `json:"faults"`
}

// parse returns a copy of f with the switches that the query contains.
func (f Fault) parse(query url.Values) (Fault, error) {
	for name := range query {
		value, err := query.Get(name), error(nil)
		switch name {
		case "down":
			f.Down, err = strconv.ParseBool(value)
		case "silent":
			f.Silent, err = strconv.ParseBool(value)
		case "slow":
			f.Slow, err = time.ParseDuration(value)
		case "lose":
			f.Lose, err = strconv.Atoi(value)
		case "writes":
			f.Writes, err = strconv.Atoi(value)
		case "reads":
			f.Reads, err = strconv.Atoi(value)
		default:
			err = fmt.Errorf("unknown; use down, silent, slow, lose, writes or reads")
		}
		if err != nil {
			return f, fmt.Errorf("switch %q: %w", name, err)
		}
	}
	return f, nil
}

// Fault returns the fault switches of the service.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the fault switches and aborts the requests that were left
// unanswered by Silent.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.writeLimiter, s.readLimiter = nil, nil
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Counts returns a copy of the counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Operations: maps.Clone(s.operationCounts), Faults: maps.Clone(s.faultCounts)}
}

func (s *Service) countFault(name string) {
	if s.faultCounts == nil {
		s.faultCounts = map[string]int{}
	}
	s.faultCounts[name]++
}

func (s *Service) countOperation(name string) {
	if s.operationCounts == nil {
		s.operationCounts = map[string]int{}
	}
	s.operationCounts[name]++
}

// isThrottled reports whether the request exceeds the rate limit.
func (s *Service) isThrottled(write bool) bool {
	if s.writeLimiter == nil {
		s.writeLimiter = newLimiter(s.fault.Writes, DefaultWrites)
		s.readLimiter = newLimiter(s.fault.Reads, DefaultReads)
	}
	if write {
		return !s.writeLimiter.Allow()
	}
	return !s.readLimiter.Allow()
}

func newLimiter(limit, defaultLimit int) *rate.Limiter {
	if limit <= 0 {
		limit = defaultLimit
	}
	return rate.NewLimiter(rate.Limit(limit), limit)
}
