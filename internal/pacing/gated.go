package pacing

import (
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillasail/vanillasail/pkg/placement"
	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

// gated is the product: placement.Search at the entries and a slots.Gate beside
// each server.
type gated struct {
	*world
	// fresh is set when servers are asked for their pace.
	fresh   bool
	costs   placement.Costs
	gates   []slots.Limiter
	probing []*rate.Limiter
	probed  []time.Duration
	// views holds what each entry knows of each server.
	views    [][]placement.Server
	searches map[int]*placement.Search
	// runs holds the admitted requests.
	runs map[int]*slots.Run
}

func newGated(w *world, fresh bool) policy {
	n := len(w.servers)
	g := &gated{
		world: w, fresh: fresh, costs: placement.DefaultCosts, gates: make([]slots.Limiter, n),
		probing: make([]*rate.Limiter, n), probed: make([]time.Duration, n),
		searches: make(map[int]*placement.Search), runs: make(map[int]*slots.Run),
	}
	for s := range w.servers {
		g.gates[s].Limit.SetSlots(w.Pattern.Slots)
		g.probing[s] = rate.NewLimiter(slots.ProbeRate, slots.ProbeBurst)
	}
	for entry := range w.servers {
		view := make([]placement.Server, n)
		for s := range view {
			view[s] = placement.Server{ID: strconv.Itoa(s), Distance: w.distance(entry, s), Limit: w.Pattern.Slots}
		}
		g.views = append(g.views, view)
	}
	return g
}

func (w *world) distance(entry, s int) placement.Distance {
	a, b := &w.servers[entry], &w.servers[s]
	switch {
	case entry == s:
		return placement.SameHost
	case a.region != b.region:
		return placement.OtherRegion
	case a.zone != b.zone:
		return placement.SameRegion
	default:
		return placement.SameDomain
	}
}

// epoch is the start of the fake clock as packages under pkg/ take it.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (w *world) time(d time.Duration) time.Time { return epoch.Add(d) }

func (g *gated) place(r int) {
	g.searches[r] = &placement.Search{}
	g.next(r)
}

// next sends a request to the next server.
func (g *gated) next(r int) {
	entry := g.requests[r].entry
	choice, last, ok := g.searches[r].Next(&g.costs, g.known(entry), g.wanted(r), g.time(g.now))
	if !ok {
		g.refuse(r, retry.MinWait)
		return
	}
	s, _ := strconv.Atoi(choice.Server.ID)
	g.views[entry][s].LocalInFlight++
	g.send(r, s, last)
}

// known returns the servers that an entry may use.
func (g *gated) known(entry int) []placement.Server {
	all := make([]placement.Server, 0, len(g.servers))
	for s := range g.servers {
		if !g.servers[s].gone {
			all = append(all, g.views[entry][s])
		}
	}
	return all
}

func (g *gated) wanted(r int) placement.Request {
	return placement.Request{
		Bytes: 2 << 10, Work: g.gates[g.requests[r].entry].UsualDuration(g.kind(r)), Random: g.choices.Int64N,
	}
}

func (g *gated) kind(r int) string { return g.Pattern.Kinds[g.requests[r].kind].Name }

func (g *gated) reach(r, s int, last bool) {
	if g.servers[s].gone {
		g.tell(r, s, told{verdict: turnedAway})
		return
	}
	objective, deadline := g.due(r)
	ask := slots.Request{
		Kind: g.kind(r), Priority: g.requests[r].kind, Objective: g.time(objective), Deadline: g.time(deadline), Last: last,
		Probed: !g.fresh,
		Wake:   func(run bool) { g.woken(r, s, run) },
	}
	now := g.time(g.now)
	run, verdict := g.gates[s].Enter(ask, now)
	if verdict == slots.Probe {
		g.probe(s)
		ask.Probed = true
		run, verdict = g.gates[s].Enter(ask, now)
	}
	switch verdict {
	case slots.Start:
		g.runs[r] = run
		g.begin(r, s)
	case slots.Wait:
		g.runs[r] = run
	case slots.HandBack:
		g.handBacks++
		g.tell(r, s, told{verdict: handedBack, load: g.load(s)})
	default:
		g.tell(r, s, told{verdict: turnedAway, load: g.load(s), wait: g.gates[s].Estimate(ask.Priority)})
	}
}

func (g *gated) woken(r, s int, run bool) {
	if run {
		g.begin(r, s)
		return
	}
	delete(g.runs, r)
	g.tell(r, s, told{verdict: turnedAway, load: g.load(s), wait: g.gates[s].Estimate(g.requests[r].kind)})
}

func (g *gated) load(s int) load {
	l := g.gates[s].Load(g.time(g.now))
	return load{running: l.Running, waiting: l.Waiting, limit: l.Limit, pace: l.Slowdown, wait: l.Wait}
}

func (g *gated) probe(s int) {
	if !g.probing[s].AllowN(g.time(g.now), 1) {
		return
	}
	g.probes++
	g.probed[s] = g.now
	g.gates[s].Slowdown.Observe(g.pace(s), g.time(g.now))
}

func (g *gated) ended(r, s int) told {
	now := g.time(g.now)
	g.gates[s].Slowdown.Observe(g.pace(s), now)
	g.gates[s].Leave(g.runs[r], true, now)
	delete(g.runs, r)
	return told{load: g.load(s)}
}

func (g *gated) returned(r, s int, t told) {
	search := g.searches[r]
	if t.verdict == handedBack {
		search.HandedBack(strconv.Itoa(s))
		g.next(r)
		return
	}
	search.Failed(strconv.Itoa(s))
	if search.HasCapacityElsewhere(&g.costs, g.known(g.requests[r].entry), g.wanted(r), g.time(g.now)) {
		g.next(r)
		return
	}
	g.refuse(r, retry.Jitter(t.wait, g.choices.Int64N))
}

func (g *gated) observe(entry, s int, t told) {
	v := &g.views[entry][s]
	v.Seen, v.LocalInFlight = g.time(g.now), 0
	v.Running, v.Limit, v.Slowdown, v.Wait = t.load.running, t.load.limit, t.load.pace, t.load.wait
}

func (g *gated) restarted(s int) { g.gates[s].Restarted() }

// each lets the gates look at their lines, asks for paces and pools limits.
func (g *gated) each() {
	now := g.time(g.now)
	for s := range g.gates {
		gate := &g.gates[s]
		if g.fresh && gate.Running() > 0 && gate.Slowdown.Age(now) >= slots.ProbeInterval && g.now-g.probed[s] >= slots.ProbeInterval {
			g.probe(s)
		}
		if gate.Waiting() > 0 {
			gate.Tick(now)
		}
	}
	if g.now%slots.PoolInterval == 0 {
		g.pool()
	}
}

// pool gives each gate what the others of its region have found.
func (g *gated) pool() {
	for s := range g.gates {
		var others []slots.Summary
		for o := range g.gates {
			if o != s && g.servers[o].region == g.servers[s].region {
				others = append(others, g.gates[o].Limit.Summary())
			}
		}
		g.gates[s].Limit.SetOthers(others)
	}
}
