package pacing

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// limiterPolicy decides as the product does: placement.Search at the entry nodes
// and a slots.Limiter beside each server.
type limiterPolicy struct {
	*emulator
	// probeSlowdown is set if servers are probed for their slowdown. Otherwise only
	// answers report it.
	probeSlowdown bool
	costs         placement.Costs
	limiters      []slots.Limiter
	probeLimits   []*rate.Limiter
	lastProbe     []time.Duration
	// views holds the load figures of each server as last received by each entry node.
	views    [][]placement.Server
	searches map[int]*placement.Search
	// runs holds the requests that run or are queued.
	runs map[int]*slots.Run
}

func newLimiterPolicy(e *emulator, probeSlowdown bool) policy {
	n := len(e.servers)
	p := &limiterPolicy{
		emulator: e, probeSlowdown: probeSlowdown, costs: placement.DefaultCosts, limiters: make([]slots.Limiter, n),
		probeLimits: make([]*rate.Limiter, n), lastProbe: make([]time.Duration, n),
		searches: make(map[int]*placement.Search), runs: make(map[int]*slots.Run),
	}
	for s := range e.servers {
		p.limiters[s].Limit.SetSlots(e.Pattern.Slots)
		p.probeLimits[s] = rate.NewLimiter(slots.ProbeRate, slots.ProbeBurst)
	}
	for entry := range e.servers {
		view := make([]placement.Server, n)
		for s := range view {
			view[s] = placement.Server{ID: strconv.Itoa(s), Distance: e.distance(entry, s), Limit: e.Pattern.Slots}
		}
		p.views = append(p.views, view)
	}
	return p
}

func (e *emulator) distance(entry, s int) placement.Distance {
	a, b := &e.servers[entry], &e.servers[s]
	switch {
	case entry == s:
		return placement.SameHost
	case a.region != b.region:
		return placement.OtherRegion
	case a.domain != b.domain:
		return placement.SameRegion
	default:
		return placement.SameDomain
	}
}

// epoch is the time.Time at which the fake clock starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (e *emulator) time(d time.Duration) time.Time { return epoch.Add(d) }

func (p *limiterPolicy) place(r int) {
	p.searches[r] = &placement.Search{}
	p.next(r)
}

// next sends a request to the next server of its search, or refuses it if there is
// none.
func (p *limiterPolicy) next(r int) {
	entry := p.requests[r].entry
	choice, last, ok := p.searches[r].Next(&p.costs, p.available(entry), p.placementRequest(r), p.time(p.now))
	if !ok {
		p.refuse(r, retry.MinWait)
		return
	}
	s, _ := strconv.Atoi(choice.Server.ID)
	p.views[entry][s].LocalInFlight++
	p.send(r, s, last)
}

// available returns the servers that an entry node may use.
func (p *limiterPolicy) available(entry int) []placement.Server {
	all := make([]placement.Server, 0, len(p.servers))
	for s := range p.servers {
		if !p.servers[s].removed {
			all = append(all, p.views[entry][s])
		}
	}
	return all
}

func (p *limiterPolicy) placementRequest(r int) placement.Request {
	return placement.Request{
		Bytes: 2 << 10, Work: p.limiters[p.requests[r].entry].UsualDuration(p.kind(r)), Random: p.choices.Int64N,
	}
}

func (p *limiterPolicy) kind(r int) string { return p.Pattern.Kinds[p.requests[r].kind].Name }

func (p *limiterPolicy) onArrival(r, s int, last bool) {
	if p.servers[s].removed {
		p.reply(r, s, response{verdict: refused})
		return
	}
	objective, deadline := p.deadlines(r)
	req := slots.Request{
		Kind: p.kind(r), Priority: p.requests[r].kind, Objective: p.time(objective), Deadline: p.time(deadline), Last: last,
		Probed: !p.probeSlowdown,
		Wake:   func(run bool) { p.onWake(r, s, run) },
	}
	now := p.time(p.now)
	run, verdict := p.limiters[s].Enter(req, now)
	if verdict == slots.Probe {
		p.probe(s)
		req.Probed = true
		run, verdict = p.limiters[s].Enter(req, now)
	}
	switch verdict {
	case slots.Start:
		p.runs[r] = run
		p.start(r, s)
	case slots.Wait:
		p.runs[r] = run
	case slots.HandBack:
		p.handBacks++
		p.reply(r, s, response{verdict: handedBack, load: p.load(s)})
	default:
		p.reply(r, s, response{verdict: refused, load: p.load(s), wait: p.limiters[s].Estimate(req.Priority)})
	}
}

func (p *limiterPolicy) onWake(r, s int, run bool) {
	if run {
		p.start(r, s)
		return
	}
	delete(p.runs, r)
	p.reply(r, s, response{verdict: refused, load: p.load(s), wait: p.limiters[s].Estimate(p.requests[r].kind)})
}

func (p *limiterPolicy) load(s int) load {
	l := p.limiters[s].Load(p.time(p.now))
	return load{running: l.Running, waiting: l.Waiting, limit: l.Limit, slowdown: l.Slowdown, slowFor: l.SlowFor, wait: l.Wait}
}

func (p *limiterPolicy) probe(s int) {
	if !p.probeLimits[s].AllowN(p.time(p.now), 1) {
		return
	}
	p.probes++
	p.lastProbe[s] = p.now
	p.limiters[s].Slowdown.Observe(p.slowdown(s), p.time(p.now))
}

func (p *limiterPolicy) onRunEnd(r, s int) response {
	now := p.time(p.now)
	p.limiters[s].Slowdown.Observe(p.slowdown(s), now)
	p.limiters[s].Leave(p.runs[r], true, now)
	delete(p.runs, r)
	return response{load: p.load(s)}
}

func (p *limiterPolicy) onRefusal(r, s int, resp response) {
	search := p.searches[r]
	if resp.verdict == handedBack {
		search.HandedBack(strconv.Itoa(s))
		p.next(r)
		return
	}
	search.Failed(strconv.Itoa(s))
	if search.HasCapacityElsewhere(&p.costs, p.available(p.requests[r].entry), p.placementRequest(r), p.time(p.now)) {
		p.next(r)
		return
	}
	p.refuse(r, retry.Jitter(resp.wait, p.choices.Int64N))
}

func (p *limiterPolicy) onLoad(entry, s int, resp response) {
	v := &p.views[entry][s]
	v.Seen, v.LocalInFlight = p.time(p.now), 0
	v.Running, v.Limit, v.Wait = resp.load.running, resp.load.limit, resp.load.wait
	v.Slowdown, v.SlowFor = resp.load.slowdown, resp.load.slowFor
}

func (p *limiterPolicy) onRestart(s int) { p.limiters[s].Restarted() }

// onTick probes servers whose slowdown figure is old, starts or refuses queued
// requests and shares the statistics of the concurrency limits.
func (p *limiterPolicy) onTick() {
	now := p.time(p.now)
	for s := range p.limiters {
		limiter := &p.limiters[s]
		if p.probeSlowdown && limiter.Running() > 0 && limiter.Slowdown.Age(now) >= slots.ProbeInterval && p.now-p.lastProbe[s] >= slots.ProbeInterval {
			p.probe(s)
		}
		if limiter.Waiting() > 0 {
			limiter.Tick(now)
		}
	}
	if p.now%slots.PoolInterval == 0 {
		p.shareLimits()
	}
}

// shareLimits passes each limiter the statistics of the others in its region.
func (p *limiterPolicy) shareLimits() {
	for s := range p.limiters {
		var others []slots.Summary
		for o := range p.limiters {
			if o != s && p.servers[o].region == p.servers[s].region {
				others = append(others, p.limiters[o].Limit.Summary())
			}
		}
		p.limiters[s].Limit.SetOthers(others)
	}
}
