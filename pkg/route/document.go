// Package route holds a configuration of routes that an operator writes and
// nodes only follow, and finds the route of a request in it.
package route

import (
	"strings"
	"time"

	"github.com/vanillasail/vanillasail/pkg/fault"
)

// Document is one version of the configuration. It is immutable once checked.
type Document struct {
	// Version grows with each change, in steps of any size.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests of a host and path go, and what may be done with them.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may be sent more than once.
	Idempotent bool
	// Timeout bounds the time until the final answer; it is positive.
	Timeout time.Duration
	// Objective is the latency within which an answer is worth most. It may be
	// longer than Timeout; zero means that there is none.
	Objective time.Duration
	// MaxAttempts bounds the servers that may get one request; at least 1.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Destinations is never empty, and the sum of weights is positive.
	Destinations []Destination
}

// Destination is the share of a route's requests that goes to one service.
type Destination struct {
	Service string
	Weight  int
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// Health is the path that tells a server's health and load.
	Health string
	// MaxConns bounds the connections of all callers to one server; zero means no bound.
	MaxConns int
}

// Limits bound what a caller may send. Zero means the default of the listener.
type Limits struct {
	Header, Body      int
	HeadTimeout, IdleTimeout time.Duration
}

// Check reports the first rule that the document breaks.
func (d *Document) Check() error {
	if len(d.Routes) == 0 || len(d.Services) == 0 {
		return bad("a configuration has at least one route and one service")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return bad("service %q is empty or named twice", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		place := r.Host + r.Prefix
		if places[place] {
			return bad("two routes have host %q and prefix %q", r.Host, r.Prefix)
		}
		places[place] = true
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return bad("route %q needs a host and a prefix that begins and ends with a slash", r.Name)
	case r.Timeout <= 0 || r.Objective < 0:
		return bad("route %q: timeout %s and objective %s; the timeout is positive", r.Name, r.Timeout, r.Objective)
	case r.MaxAttempts < 1 || r.Priority < 0:
		return bad("route %q: attempts %d and priority %d; at least one attempt and priority 0", r.Name, r.MaxAttempts, r.Priority)
	}
	sum := 0
	for _, p := range r.Destinations {
		if !services[p.Service] {
			return bad("route %q names the unknown service %q", r.Name, p.Service)
		}
		if p.Weight < 0 {
			return bad("route %q has the negative weight %d", r.Name, p.Weight)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return bad("route %q sends its requests to no service", r.Name)
	}
	return nil
}

func bad(format string, args ...any) error {
	return fault.New(fault.KindBadRequest, format, args...).WithRemedy("correct the configuration; the last valid version stays in force")
}
