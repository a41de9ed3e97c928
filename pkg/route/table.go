package route

import (
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
)

// Table finds routes in one document. It is safe for concurrent use.
type Table struct {
	Document *Document
	// hosts holds the routes of a host, longest prefix first.
	hosts    map[string][]*entry
	services map[string]Service
}

type entry struct {
	Route
	mu sync.Mutex
	// credits of the destinations, for smooth weighted round robin.
	credits []int
}

// NewTable indexes a document that has passed Check.
func NewTable(d *Document) *Table {
	t := &Table{Document: d, hosts: make(map[string][]*entry), services: make(map[string]Service, len(d.Services))}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], newEntry(r))
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// newEntry starts the round robin at a random point, so that nodes that start
// together do not all send their first requests to the same destination.
func newEntry(r Route) *entry {
	e := &entry{Route: r, credits: make([]int, len(r.Destinations))}
	sum := 0
	for _, d := range r.Destinations {
		sum += d.Weight
	}
	for range rand.IntN(sum) {
		e.next()
	}
	return e
}

// Service returns a service by its name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Idempotent reports whether the route of a request is idempotent; false if there is
// none.
func (t *Table) Idempotent(host, path string) bool {
	e := t.find(host, path)
	return e != nil && e.Route.Idempotent
}

// Find returns the route of a request and the service to which this request goes.
func (t *Table) Find(host, path string) (r Route, service string, ok bool) {
	e := t.find(host, path)
	if e == nil {
		return Route{}, "", false
	}
	return e.Route, e.pick(), true
}

func (t *Table) find(host, path string) *entry {
	for _, e := range t.hosts[hostname(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// pick distributes requests over the destinations by weight. Round robin keeps each
// destination within one request of its share, where a random choice would be off by
// several percent in a window of 200 requests.
func (e *entry) pick() string {
	if len(e.Destinations) == 1 {
		return e.Destinations[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Destinations[e.next()].Service
}

func (e *entry) next() int {
	best, sum := 0, 0
	for i, d := range e.Destinations {
		e.credits[i] += d.Weight
		sum += d.Weight
		if e.credits[i] > e.credits[best] {
			best = i
		}
	}
	e.credits[best] -= sum
	return best
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
