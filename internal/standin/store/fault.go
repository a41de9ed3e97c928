package store

import (
	"fmt"
	"maps"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the platform, in requests a second; more is answered with 429.
const (
	DefaultWrites = 400
	DefaultReads  = 2000
)

// Fault holds the switches of one service. The zero value is a healthy service
// with the default limits.
type Fault struct {
	// Down answers 503 without any effect.
	Down bool `json:"down"`
	// Silent accepts requests and answers none, without any effect.
	Silent bool `json:"silent"`
	// Slow delays each operation before its effect. The effect follows even
	// when the client has given up meanwhile.
	Slow time.Duration `json:"slow"`
	// Lose closes the connection instead of replying, after the effect, for
	// that many writes.
	Lose int `json:"lose"`
	// Writes and Reads limit the requests a second; zero means the defaults.
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
}

// Counts holds what a service did since its start. Operations are get, put,
// delete and list; faults are down, silent, slow, lost, late (an effect after
// the client gave up) and throttled.
type Counts struct {
	Operations map[string]int `json:"operations"`
	Faults     map[string]int `json:"faults"`
}

// parse returns a copy with the switches named in the query changed.
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
			err = fmt.Errorf("use down, silent, slow, lose, writes or reads")
		}
		if err != nil {
			return f, fmt.Errorf("switch %q: %w", name, err)
		}
	}
	return f, nil
}

// Fault returns the switches.
func (s *Service) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SetFault replaces the switches and releases the requests that a silent
// service held.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.writes, s.reads = nil, nil
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Counts returns a copy of the counters.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Operations: maps.Clone(s.operations), Faults: maps.Clone(s.faults)}
}

func (s *Service) countFault(name string) {
	if s.faults == nil {
		s.faults = map[string]int{}
	}
	s.faults[name]++
}

func (s *Service) countOperation(name string) {
	if s.operations == nil {
		s.operations = map[string]int{}
	}
	s.operations[name]++
}

// throttled reports whether the request is over the limit.
func (s *Service) throttled(write bool) bool {
	if s.writes == nil {
		s.writes = limiter(s.fault.Writes, DefaultWrites)
		s.reads = limiter(s.fault.Reads, DefaultReads)
	}
	if write {
		return !s.writes.Allow()
	}
	return !s.reads.Allow()
}

func limiter(limit, byDefault int) *rate.Limiter {
	if limit <= 0 {
		limit = byDefault
	}
	return rate.NewLimiter(rate.Limit(limit), limit)
}
