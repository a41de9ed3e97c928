package retry

import "time"

// Windows limits the resends of one node to all services.
//
// Load pattern: the servers of a service refuse or fail many requests, and each resend
// that runs makes its calls again. These arrive at the services called in addition to
// what their own callers may resend, and at nodes that cannot refuse them. So a resend
// is charged for the calls that it is expected to make, and is not sent if one of the
// services called has no resends left. Only the requests of clients earn resends: a
// call is the consequence of a request that has earned some already. So what may be a
// call earns none.
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

// Charge is what one resend was charged. It is immutable; the zero value is nothing.
type Charge struct {
	route *callsPerRun
	// unknown is set if the calls are charged by a later run.
	unknown bool
	resend  windowCharge
	calls   []windowCharge
}

// windowCharge is a part of a charge, in one cell of the window of one service.
type windowCharge struct {
	service string
	cell    uint64
	resends float64
}

// IsZero reports whether nothing was charged.
func (c Charge) IsZero() bool { return c.route == nil }

// Take reports whether a request may be resent within a share of the limits of its
// service and of those that it calls, and charges the resend if so.
func (w *Windows) Take(service, route string, share float64, now time.Time) (Charge, bool) {
	c := w.route(route)
	if c.runs < minCallSamples {
		if !w.window(service).allows(now, min(share, unknownCallsShare), 1) {
			return Charge{}, false
		}
		c.uncharged++
		return Charge{route: c, unknown: true, resend: w.charge(service, 1, now)}, true
	}
	for called, n := range c.means {
		if !w.window(called).allows(now, share, n) {
			return Charge{}, false
		}
	}
	if !w.window(service).allows(now, share, 1) {
		return Charge{}, false
	}
	charge := Charge{route: c, resend: w.charge(service, 1, now), calls: make([]windowCharge, 0, len(c.means))}
	for called, n := range c.means {
		charge.calls = append(charge.calls, w.charge(called, n, now))
	}
	return charge, true
}

// Refund takes back a charge, at most once: that for the calls if the resend arrived and
// its server refused it, all of it otherwise. Calls that were not known stay charged if
// a later run has charged them already.
func (w *Windows) Refund(c Charge, arrived bool, now time.Time) {
	if c.IsZero() {
		return
	}
	if c.unknown && c.route.uncharged > 0 {
		c.route.uncharged--
	}
	for _, call := range c.calls {
		w.refund(call, now)
	}
	if !arrived {
		w.refund(c.resend, now)
	}
}

func (w *Windows) charge(service string, n float64, now time.Time) windowCharge {
	return windowCharge{service: service, cell: w.window(service).charge(now, n), resends: n}
}

func (w *Windows) refund(c windowCharge, now time.Time) {
	w.window(c.service).refund(now, c.cell, c.resends)
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
