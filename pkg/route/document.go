// Package route holds the configuration of routes, which operators write and nodes
// only read, and finds the route of a request.
package route

import (
	"strings"
	"time"
	"unicode"

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

// Route defines where requests of a host and path prefix go and how they are
// handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may be sent more than once.
	Idempotent bool
	// Timeout bounds the time until the final answer; it is positive.
	Timeout time.Duration
	// Objective is the latency objective. An answer within it is worth most. It may
	// be longer than Timeout; zero means that there is none.
	Objective time.Duration
	// MaxAttempts bounds the servers that may get one request; at least 1.
	MaxAttempts int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Destinations is never empty, and the sum of weights is positive.
	Destinations []Destination
}

// Destination is a service with its weight among the destinations of a route.
type Destination struct {
	Service string
	Weight  int
}

// Service is a set of equal backend servers.
type Service struct {
	Name string
	// Health is the path at which a server reports its health and load.
	Health string
	// MaxConns bounds the connections of all callers to one server; zero means no
	// bound.
	MaxConns int
}

// Limits bound what a caller may send. Zero means the default of the listener.
type Limits struct {
	Header, Body             int
	HeadTimeout, IdleTimeout time.Duration
}

// Check returns an error for the first rule that the document violates.
func (d *Document) Check() error {
	if len(d.Routes) == 0 || len(d.Services) == 0 {
		return invalid("a configuration has at least one route and one service")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			return invalid("service name %q is empty or used twice", s.Name)
		}
		if strings.ContainsFunc(s.Name, unicode.IsControl) {
			return invalid("service name %q has control characters", s.Name)
		}
		if strings.ContainsFunc(s.Health, isControlOrSpace) {
			return invalid("service %q has the health check %q, which is no path", s.Name, s.Health)
		}
		services[s.Name] = true
	}
	type hostPrefix struct{ host, prefix string }
	seen := make(map[hostPrefix]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(services); err != nil {
			return err
		}
		key := hostPrefix{r.Host, r.Prefix}
		if seen[key] {
			return invalid("two routes have the host %q and prefix %q", r.Host, r.Prefix)
		}
		seen[key] = true
	}
	return nil
}

// isControlOrSpace reports whether a character would end the target of a request.
func isControlOrSpace(c rune) bool { return unicode.IsControl(c) || unicode.IsSpace(c) }

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("route %q needs a host and a prefix that begins and ends with a slash", r.Name)
	case r.Timeout <= 0 || r.Objective < 0:
		return invalid("route %q: timeout %s and objective %s; the timeout is positive", r.Name, r.Timeout, r.Objective)
	case r.MaxAttempts < 1 || r.Priority < 0:
		return invalid("route %q: attempts %d and priority %d; at least one attempt and priority 0", r.Name, r.MaxAttempts, r.Priority)
	}
	sum := 0
	for _, d := range r.Destinations {
		if !services[d.Service] {
			return invalid("route %q names the unknown service %q", r.Name, d.Service)
		}
		if d.Weight < 0 {
			return invalid("route %q has the negative weight %d", r.Name, d.Weight)
		}
		sum += d.Weight
	}
	if sum <= 0 {
		return invalid("route %q has no destination with a positive weight", r.Name)
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fault.New(fault.KindBadRequest, format, args...).WithRemedy("correct the configuration; the last valid version stays in force")
}
