package retry

import "time"

// Windows limits the resends of one node to all services.
//
// Load pattern: the servers of a service refuse or fail many requests, and each resend
// that runs makes its calls again. These arrive at the services called in addition to
// what their own callers may resend, and at nodes that cannot refuse them. So a resend
// is charged for the calls that it is expected to make, and is not sent if one of the
// services called has no resends left. Only the requests of clients earn resends: a
// call is the consequence of a request that has earned some already.
//
// The zero value allows nothing. Windows is not safe for concurrent use.
type Windows struct {
	// Span, Ratio and Fixed are those of each Window. They may change at any time.
	Span         time.Duration
	Ratio, Fixed float64

	services map[string]*Window
	routes   map[string]*callsPerRun
}

// callsPerRun is the mean number of calls that a request of a route makes.
type callsPerRun struct {
	// runs is the number of runs that the means cover, at most callSamples.
	runs  float64
	means map[string]float64
	// uncharged counts the resends that were allowed before the means were known. Each
	// is charged for the calls of a later run.
	uncharged int
}

const (
	// callSamples is the number of runs that a mean number of calls is taken over, and
	// minCallSamples from how many on it is known.
	callSamples    = 100
	minCallSamples = 10
	// unknownCallsShare is the largest share of a limit for requests whose calls are not
	// known: the limit holds if each makes two calls that are sent again as often.
	unknownCallsShare = 0.25
	// maxRoutes bounds the number of routes whose calls are known. Beyond it, all are
	// learned again.
	maxRoutes = 4096
)

// Request counts a request of a client.
func (w *Windows) Request(service string, now time.Time) { w.window(service).Request(now) }

// Ran records the calls that a run of a route has made, by service.
func (w *Windows) Ran(route string, calls map[string]int, now time.Time) {
	c := w.route(route)
	if c.uncharged > 0 {
		c.uncharged--
		for service, n := range calls {
			w.window(service).charge(now, float64(n))
		}
	}
	c.runs = min(c.runs+1, callSamples)
	for service := range calls {
		c.means[service] += 0
	}
	for service, mean := range c.means {
		c.means[service] += (float64(calls[service]) - mean) / c.runs
	}
}

// Take reports whether a request may be resent within a share of the limits of its
// service and of those that it calls, and counts the resend if so.
func (w *Windows) Take(service, route string, share float64, now time.Time) bool {
	c := w.route(route)
	if c.runs < minCallSamples {
		ok := w.window(service).Take(now, min(share, unknownCallsShare))
		if ok {
			c.uncharged++
		}
		return ok
	}
	for called, n := range c.means {
		if !w.window(called).allows(now, share, n) {
			return false
		}
	}
	if !w.window(service).Take(now, share) {
		return false
	}
	for called, n := range c.means {
		w.window(called).charge(now, n)
	}
	return true
}

// NotRun takes back what a resend was charged for its calls, because its server refused
// it.
func (w *Windows) NotRun(route string, now time.Time) {
	c := w.route(route)
	if c.uncharged > 0 {
		c.uncharged--
		return
	}
	for called, n := range c.means {
		w.window(called).charge(now, -n)
	}
}

func (w *Windows) route(name string) *callsPerRun {
	c := w.routes[name]
	if c == nil {
		if len(w.routes) >= maxRoutes || w.routes == nil {
			w.routes = make(map[string]*callsPerRun)
		}
		c = &callsPerRun{means: make(map[string]float64)}
		w.routes[name] = c
	}
	return c
}

func (w *Windows) window(service string) *Window {
	if w.services == nil {
		w.services = make(map[string]*Window)
	}
	s := w.services[service]
	if s == nil {
		s = &Window{}
		w.services[service] = s
	}
	s.Span, s.Ratio, s.Fixed = w.Span, w.Ratio, w.Fixed
	return s
}
