package routing

import (
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// pool holds the servers of one service.
type pool struct {
	config *Config
	// created is the instant of the first server; servers that are added
	// within settle of it belong to a running deployment and are warm.
	created time.Duration
	entries []*entry
	byID    map[string]*entry
	// active is the subset in use, sorted by locality; ends holds the end of
	// each locality's part.
	active []*entry
	ends   [localities]int
	dirty  bool
	// size bounds active; zero means Config.Subset.
	size int
	// used is the instant of the last request; negative before the first.
	used time.Duration
	// mean is the mean load of each locality as a share of the slots, median
	// the median run time in nanoseconds. Regions are overloaded separately,
	// so one mean for all would hide free servers elsewhere.
	mean   [localities]float64
	median float64
	// at is the newest instant seen.
	at      time.Duration
	group   outlier.Group
	scratch []float64
	// seen holds the candidates of the running decision.
	seen []candidate
	// out holds active servers that are not serving; usually empty.
	out []*entry
}

// settle is the time after its first server in which a pool takes new servers
// as already warm: a node that starts learns of all servers at once.
const settle = time.Second

func newPool(c *Config, at time.Duration) *pool {
	return &pool{
		config: c, created: at, at: at, used: -1,
		byID:   map[string]*entry{},
		median: float64(c.ServiceTime),
		group:  outlier.Group{Config: c.Outlier},
	}
}

func (p *pool) upsert(s Server, at time.Duration) {
	e := p.byID[s.ID]
	if e == nil {
		e = &entry{observed: -1, added: at, warm: at-p.created < settle}
		p.byID[s.ID] = e
		p.entries = append(p.entries, e)
	}
	e.Server = s
	e.setSlots(s.Slots)
	e.link, e.locality = p.config.roundTrip(&s)
	p.dirty = true
}

func (e *entry) setSlots(n int) {
	w := e.Weight
	if w <= 0 {
		w = 1
	}
	e.slots = float64(max(n, 1)) * w
}

func (p *pool) remove(id string) {
	e := p.byID[id]
	if e == nil {
		return
	}
	delete(p.byID, id)
	p.group.Forget(&e.health)
	p.entries = slices.DeleteFunc(p.entries, func(x *entry) bool { return x == e })
	p.out = slices.DeleteFunc(p.out, func(x *entry) bool { return x == e })
	p.dirty = true
}

// rebuild chooses the subset again after servers were added or removed.
func (p *pool) rebuild() {
	if !p.dirty {
		return
	}
	p.dirty = false
	size := p.size
	if size == 0 {
		size = p.config.SubsetSize
	}
	p.active = subset(p.entries, p.config.Node, size, p.active[:0])
	for _, e := range p.entries {
		e.subset = false
	}
	p.ends = [localities]int{}
	for _, e := range p.active {
		e.subset = true
		for l := e.locality; l < localities; l++ {
			p.ends[l]++
		}
	}
	p.group.Size = len(p.active)
}

// usedFor is the time after a request in which a service counts as in use. A
// connection to another node closes 30 s after its last request.
const usedFor = time.Minute

// inUse reports whether the service had a request lately.
func (p *pool) inUse(at time.Duration) bool { return p.used >= 0 && at-p.used < usedFor }

// resize bounds the subset.
func (p *pool) resize(size int) {
	if size != p.size {
		p.size, p.dirty = size, true
	}
}

// tick refreshes mean and median and lets old latencies decay.
func (p *pool) tick(at time.Duration) {
	p.at = at
	p.rebuild()
	p.scratch = p.scratch[:0]
	var load, slots [localities]float64
	for _, e := range p.active {
		p.fade(e, at)
		e.pace.advance(e.own, at)
		if e.sampled > 0 && e.health.Serving() {
			p.scratch = append(p.scratch, max(e.measured(p, e.load(p, at), at), e.told))
		}
		if e.observed >= 0 && e.health.Serving() && !e.draining {
			load[e.locality] += e.load(p, at)
			slots[e.locality] += e.slots
		}
	}
	for l := range p.mean {
		if slots[l] > 0 {
			p.mean[l] = load[l] / slots[l]
		}
	}
	if len(p.scratch) > 0 {
		slices.Sort(p.scratch)
		p.median = p.scratch[(len(p.scratch)-1)/2]
	}
}

// fadeAfter is the age from which an unconfirmed latency decays towards the
// median, so that a server that is no longer used is tried again. An ejected
// server is tried by trial requests instead.
const fadeAfter = 100 * time.Millisecond

func (p *pool) fade(e *entry, at time.Duration) {
	if at-e.sampled < fadeAfter || e.own > 0 || !e.health.Serving() {
		return
	}
	e.told += (p.median - e.told) / 16
	e.usual += (p.median - e.usual) / 64
	e.failing -= e.failing / 16
}

func (p *pool) state(e *entry, epoch time.Time) ServerState {
	s := ServerState{
		Server: e.Server, Own: e.own, Draining: e.draining, Subset: e.subset,
		Load:     e.load(p, p.at),
		Latency:  time.Duration(e.runTime(p, e.load(p, p.at), p.at)),
		Expected: time.Duration(e.expected(p, p.at)),
		Age:      e.age(p.at),
		Ramp:     e.ramp(p.config.SlowStart, p.at),
		State:    e.health.State(epoch.Add(p.at)).String(),
	}
	if s.State != outlier.Serving.String() {
		s.Cause = e.health.Cause().String()
	}
	return s
}

func (e *entry) age(at time.Duration) time.Duration {
	if e.observed < 0 {
		return -1
	}
	return at - e.observed
}
