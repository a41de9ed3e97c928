package routing

import (
	"slices"
	"time"
)

// samples is the number of servers compared in each locality. A locality with
// at most as many servers is compared whole.
const samples = 6

// Pick chooses a server and counts the request as in flight there. It reports
// false when no server may be used.
func (t *Table) Pick(r Request, now time.Time) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var c Choice
	p := t.pools[r.Service]
	if p == nil {
		return c, false
	}
	at := t.prepare(now)
	p.at, p.used = at, at
	p.seen = p.seen[:0]
	p.rebuild()
	e := p.trial(&r, now, at)
	if e != nil {
		c.Reason = ReasonTrial
		p.seen = append(p.seen, candidate{e, e.expected(p, at)})
	} else if e = p.best(&r, t, at, &c); e == nil {
		if e = p.fallback(&r, at, &c); e == nil {
			return c, false
		}
	}
	c.ID = e.ID
	c.fill(p, e, at)
	e.picked(at)
	return c, true
}

func (e *entry) picked(at time.Duration) {
	e.pace.advance(e.own, at)
	if e.own == 0 {
		e.heard = at
	}
	e.own++
	e.sent++
}

// trial returns an ejected server that is due for a trial request. Requests
// from before the ejection must have ended, so that their outcomes do not
// count as the trial's.
func (p *pool) trial(r *Request, now time.Time, at time.Duration) *entry {
	if !r.Idempotent {
		return nil
	}
	for _, e := range p.out {
		if e.own > 0 || e.draining || at < e.refusing || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		if p.group.TrialDue(&e.health, now) {
			p.group.BeginTrial(&e.health, now)
			return e
		}
	}
	return nil
}

// best compares samples of each locality, closest first. A locality whose
// link alone costs more than the best server so far is not looked at.
func (p *pool) best(r *Request, t *Table, at time.Duration, c *Choice) *entry {
	var best *entry
	lowest := 0.0
	start := 0
	for l := range localities {
		part := p.active[start:p.ends[l]]
		start = p.ends[l]
		if len(part) == 0 || best != nil && lowest < float64(part[0].link)+p.median {
			continue
		}
		if e, cost := p.sample(part, r, t, at); e != nil && (best == nil || cost < lowest) {
			best, lowest = e, cost
		}
	}
	if best != nil {
		c.Reason = best.reason(len(p.seen))
	}
	return best
}

func (e *entry) reason(considered int) Reason {
	switch {
	case e.locality == distant:
		return ReasonRegion
	case e.locality == regional:
		return ReasonDomain
	case considered == 1:
		return ReasonOnly
	default:
		return ReasonBest
	}
}

// sample compares servers from a random place on; a random step makes the
// samples of a large part independent of its order. Starting at a random
// place breaks ties at random.
func (p *pool) sample(part []*entry, r *Request, t *Table, at time.Duration) (*entry, float64) {
	var best *entry
	lowest := 0.0
	n := len(part)
	random := t.rng.Uint64()
	i := int(uint32(random)) % n
	for tried, seen := 0, 0; tried < n && seen < samples; tried++ {
		e := part[i]
		i = p.next(i, n, tried, random)
		if !e.usable(r) {
			continue
		}
		seen++
		cost := e.expected(p, at)
		p.seen = append(p.seen, candidate{e, cost})
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best, lowest
}

// next walks a small part in order and jumps through a large one.
func (p *pool) next(i, n, tried int, random uint64) int {
	if n > 2*samples && tried < 2*samples {
		i += int(random>>32) % (n / (2 * samples))
	}
	if i++; i >= n {
		i -= n
	}
	return i
}

func (e *entry) usable(r *Request) bool {
	return !e.draining && e.health.Serving() && !slices.Contains(r.Exclude, e.ID)
}

// fallback looks at all servers, also ejected ones and those outside the
// subset, when nothing else is left.
func (p *pool) fallback(r *Request, at time.Duration, c *Choice) *entry {
	var best *entry
	lowest := 0.0
	for _, e := range p.entries {
		if e.draining || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		cost := e.expected(p, at)
		p.seen = append(p.seen, candidate{e, cost})
		if best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	if best != nil {
		c.Reason = ReasonFallback
	}
	return best
}
