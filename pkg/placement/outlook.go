package placement

import "time"

const (
	// outlookSamples is the number of fresh figures from which they count for more than
	// what is assumed without any.
	outlookSamples = 1.0
	// mostFail is the share of failing servers from which a search for a healthy one
	// takes more round trips than its result is worth.
	mostFail = 0.75
)

// outlook is what the fresh load figures of a service say about its servers without
// any, by distance.
//
// Load pattern: a node sends a few requests a second to a service of many servers, so
// nearly all figures are missing or old, and then most servers begin to fail. A server
// without figures is no better than the others. If it counted as idle, each request
// would be handed back by several of them, those of other regions included, before a
// server was asked to take it.
type outlook [OtherRegion + 1]tally

// tally counts servers with fresh figures, weighted by freshness.
type tally struct {
	// known is the weight of all of them and failing that of those that fail:
	// 0 <= failing <= known.
	known, failing float64
}

func newOutlook(servers []Server, now time.Time) outlook {
	var o outlook
	if !anyUnhealthy(servers) {
		return o
	}
	for i := range servers {
		s := &servers[i]
		t, weight := &o[s.Distance.group()], s.freshness(now)
		t.known += weight
		if s.Unhealthy {
			t.failing += weight
		}
	}
	return o
}

// anyUnhealthy reports whether a server was failing when last seen. Otherwise the zero
// outlook holds, which expects no failures.
func anyUnhealthy(servers []Server) bool {
	for i := range servers {
		if servers[i].Unhealthy {
			return true
		}
	}
	return false
}

// group returns the distance whose tally counts the server: a host is part of its
// failure domain.
func (d Distance) group() Distance { return max(d, SameDomain) }

// failing returns the expected share of failing servers at a distance. Few figures are
// supplemented by those of the other distances.
func (o *outlook) failing(d Distance) float64 {
	own, others := o[d.group()], tally{}
	for i, t := range o {
		if Distance(i) != d.group() {
			others.known += t.known
			others.failing += t.failing
		}
	}
	assumed := others.failing / (others.known + outlookSamples)
	return (own.failing + outlookSamples*assumed) / (own.known + outlookSamples)
}

// hopeless reports whether most servers at a distance fail, so that one without fresh
// figures should be asked to take a request. One at least was seen failing there,
// because a failure domain or a region may be well although another is not.
func (o *outlook) hopeless(d Distance) bool {
	return o[d.group()].failing > 0 && o.failing(d) >= mostFail
}

// costs returns the expected cost of the failures of a server without figures, by
// distance. While a healthy server may still be found, a failing one costs only the
// hand-back.
func (o *outlook) costs() (costs [OtherRegion + 1]time.Duration) {
	for d := range OtherRegion + 1 {
		if o.hopeless(d) {
			costs[d] = time.Duration(o.failing(d) * float64(unhealthyCost))
		}
	}
	return costs
}
