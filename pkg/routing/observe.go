package routing

import "time"

const (
	// gain is the weight of one request in the share of failures.
	gain = 0.2
	// usualGain is the weight of one answer in the usual run time.
	usualGain = 0.1
	// usualFrom is the multiple of the median from which a measured run time
	// counts in the usual one: below it, a queue explains it as well.
	usualFrom = 2
	// penalty is the time that a failure costs, as a multiple of the median
	// run time: a server that fails fast must not look idle.
	penalty = 10
)

// Done ends a request that Pick counted. Latency is the time from Pick to the
// end as the entry node saw it.
func (t *Table) Done(service, id string, o Outcome, latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, e := t.find(service, id)
	if e == nil {
		return
	}
	at := t.prepare(now)
	p.at = at
	e.pace.advance(e.own, at)
	e.own = max(e.own-1, 0)
	e.sent = min(e.sent, e.own)
	serving := e.health.Serving()
	switch o {
	case Answered:
		e.heard = at
		e.failing -= gain * e.failing
		e.sampled = at
		e.pace.ended++
		e.learn(p, at)
		run := float64(latency-e.link) - e.wait(p, e.load(p, at))
		if serving {
			run = max(e.measured(p, e.load(p, at), at), e.told)
		}
		p.group.Answered(&e.health, run/p.median, now)
	case Failed, Lost:
		if o == Failed {
			e.heard = at
		}
		e.failing += gain * (1 - e.failing)
		e.sampled = at
		p.group.Failed(&e.health, now)
	case Refused:
		e.heard = at
		e.refusing = at + refusal
		p.group.Canceled(&e.health, 0, now)
	case Canceled:
		p.group.Canceled(&e.health, float64(latency-e.link)/p.median, now)
	}
	p.track(e, serving)
}

// learn moves the usual run time towards the measured one.
func (e *entry) learn(p *pool, at time.Duration) {
	if e.usual == 0 {
		e.usual = p.median
	}
	run := e.measured(p, e.load(p, at), at)
	if run < usualFrom*p.median {
		run = p.median
	}
	e.usual += usualGain * (run - e.usual)
}

// track keeps the list of servers that are out.
func (p *pool) track(e *entry, was bool) {
	switch is := e.health.Serving(); {
	case was && !is:
		p.out = append(p.out, e)
	case !was && is:
		p.back(e)
	}
}

// back takes a server in again and forgets how slow it was.
func (p *pool) back(e *entry) {
	for i, x := range p.out {
		if x == e {
			p.out = append(p.out[:i], p.out[i+1:]...)
			break
		}
	}
	e.pace, e.usual, e.told, e.failing = pace{at: p.at}, 0, 0, 0
}

// wait is the expected wait in the queue of a server with the load.
func (e *entry) wait(p *pool, load float64) float64 {
	over := max(load-e.slots, 0)
	return over / e.slots * max(e.told, p.median)
}

// Suspect reports whether a server now looks slower than its peers or is
// ejected. A request that waits there for long is worth a hedge.
func (t *Table) Suspect(service, id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, e := t.find(service, id)
	if e == nil {
		return false
	}
	at := t.prepare(now)
	return !e.health.Serving() || e.runTime(p, e.load(p, at), at) > p.median
}

// Observe takes in the load that an answer or a probe carried.
func (t *Table) Observe(service, id string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, e := t.find(service, id)
	if e == nil {
		return
	}
	at := t.prepare(now)
	read := at - l.Age
	if e.observed >= 0 && read < e.observed {
		return // a newer load came first
	}
	e.observed = read
	e.reported = float64(l.InFlight + l.Queued)
	e.sent = 0
	if l.Slots > 0 {
		e.setSlots(l.Slots)
	}
	if l.Latency > 0 {
		e.told = float64(l.Latency)
		e.sampled = at
	}
	e.refusing = 0
	if l.Refusing {
		e.refusing = at + refusal
	}
}
