package routing

import (
	"slices"
	"time"
)

// samplesPerLocality is the number of servers compared in each locality. Of a
// locality with at most as many servers, all are compared.
const samplesPerLocality = 6

// Pick chooses a server and counts the request as in flight there. It returns false
// if no server may be used.
func (t *Table) Pick(r Request, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Choice
	p := t.pools[r.Service]
	if p == nil {
		return c, false
	}
	at := t.prepare(now)
	p.lastUpdate, p.lastUsed = at, at
	p.candidates = p.candidates[:0]
	p.rebuild()
	e := p.trialServer(&r, now, at)
	if e != nil {
		c.Reason = ReasonTrial
		p.candidates = append(p.candidates, candidate{e, e.expectedLatency(p, at)})
	} else if e = p.bestServer(&r, t, at, &c); e == nil {
		if e = p.fallback(&r, at, &c); e == nil {
			return c, false
		}
	}
	c.ID = e.ID
	c.fill(p, e, at)
	e.countPick(at)
	return c, true
}

func (e *entry) countPick(at time.Duration) {
	e.latency.advance(e.own, at)
	if e.own == 0 {
		e.lastAnswer = at
	}
	e.own++
	e.sentSinceReport++
}

// trialServer returns an ejected server that is due for a trial request, or nil.
// Requests from before the ejection must have ended, so that their outcomes are not
// counted as that of the trial.
func (p *pool) trialServer(r *Request, now time.Time, at time.Duration) *entry {
	if !r.Idempotent {
		return nil
	}
	for _, e := range p.ejected {
		if e.own > 0 || e.draining || at < e.refusingUntil || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		if p.group.TrialDue(&e.health, now) {
			p.group.BeginTrial(&e.health, now)
			return e
		}
	}
	return nil
}

// bestServer compares a sample of each locality, closest first. A locality is
// skipped if its link and the median run time alone take longer than the best
// server so far.
func (p *pool) bestServer(r *Request, t *Table, at time.Duration, c *Choice) *entry {
	var best *entry
	lowest := 0.0
	start := 0
	for l := range localityCount {
		part := p.active[start:p.localityEnds[l]]
		start = p.localityEnds[l]
		if len(part) == 0 || best != nil && lowest < float64(part[0].linkRTT)+p.medianRunTime {
			continue
		}
		if e, cost := p.sample(part, r, t, at); e != nil && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	if best != nil {
		c.Reason = best.reason(len(p.candidates))
	}
	return best
}

func (e *entry) reason(considered int) Reason {
	switch {
	case e.locality == otherRegion:
		return ReasonRegion
	case e.locality == sameRegion:
		return ReasonDomain
	case considered == 1:
		return ReasonOnly
	default:
		return ReasonBest
	}
}

// sample returns the best of a sample of servers, taken from a random index on. The
// random start breaks ties at random, and a random step makes the sample of a large
// part independent of its order.
func (p *pool) sample(part []*entry, r *Request, t *Table, at time.Duration) (*entry, float64) {
	var best *entry
	lowest := 0.0
	n := len(part)
	random := t.rng.Uint64()
	i := int(uint32(random)) % n
	for tried, compared := 0, 0; tried < n && compared < samplesPerLocality; tried++ {
		e := part[i]
		i = p.nextIndex(i, n, tried, random)
		if !e.usable(r) {
			continue
		}
		compared++
		cost := e.expectedLatency(p, at)
		p.candidates = append(p.candidates, candidate{e, cost})
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, lowest
}

// nextIndex returns the next index to sample: the following one in a small part, and
// one a random step further in a large part.
func (p *pool) nextIndex(i, n, tried int, random uint64) int {
	if n > 2*samplesPerLocality && tried < 2*samplesPerLocality {
		i += int(random>>32) % (n / (2 * samplesPerLocality))
	}
	if i++; i >= n {
		i -= n
	}
	return i
}

func (e *entry) usable(r *Request) bool {
	return !e.draining && e.health.Serving() && !slices.Contains(r.Exclude, e.ID)
}

// fallback returns the best of all servers, including ejected ones and those outside
// the subset. It is used if no other server is available.
func (p *pool) fallback(r *Request, at time.Duration, c *Choice) *entry {
	var best *entry
	lowest := 0.0
	for _, e := range p.entries {
		if e.draining || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		cost := e.expectedLatency(p, at)
		p.candidates = append(p.candidates, candidate{e, cost})
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best != nil {
		c.Reason = ReasonFallback
	}
	return best
}
