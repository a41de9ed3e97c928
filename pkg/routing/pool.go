package routing

import (
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/outlier"
)

// pool holds the servers of one service.
type pool struct {
	config *Config
	// created is the time of the first server. Servers that are added within
	// warmStartWindow of it belong to a running deployment and are warm.
	created time.Duration
	entries []*entry
	byID    map[string]*entry
	// active is the subset in use, sorted by locality. localityEnds holds the end
	// index of each locality in it.
	active       []*entry
	localityEnds [localityCount]int
	dirty        bool
	// subsetSize limits the length of active; zero means Config.SubsetSize.
	subsetSize int
	// lastUsed is the time of the last request; negative before the first.
	lastUsed time.Duration
	// meanLoad is the mean load of each locality as a share of its slots. Regions
	// are overloaded independently, so one mean for all would hide free servers
	// elsewhere. medianRunTime is in nanoseconds.
	meanLoad      [localityCount]float64
	medianRunTime float64
	// lastUpdate is the time of the latest Pick, Done or Tick.
	lastUpdate time.Duration
	group      outlier.Group
	scratch    []float64
	// candidates are the servers compared in the current decision.
	candidates []candidate
	// ejected holds the servers that are ejected or in trial; it is usually empty.
	ejected []*entry
}

// warmStartWindow is the time after its first server in which a pool treats new
// servers as warm: a node that starts receives all servers at once.
const warmStartWindow = time.Second

func newPool(c *Config, at time.Duration) *pool {
	return &pool{
		config: c, created: at, lastUpdate: at, lastUsed: -1,
		byID:          map[string]*entry{},
		medianRunTime: float64(c.InitialRunTime),
		group:         outlier.Group{Config: c.Outlier},
	}
}

func (p *pool) upsert(s Server, at time.Duration) {
	e := p.byID[s.ID]
	if e == nil {
		e = &entry{reportedAt: -1, added: at, warm: at-p.created < warmStartWindow}
		p.byID[s.ID] = e
		p.entries = append(p.entries, e)
	}
	e.Server = s
	e.setSlots(s.Slots)
	e.linkRTT, e.locality = p.config.roundTrip(&s)
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
	p.ejected = slices.DeleteFunc(p.ejected, func(x *entry) bool { return x == e })
	p.dirty = true
}

// rebuild selects the subset again if servers were added or removed.
func (p *pool) rebuild() {
	if !p.dirty {
		return
	}
	p.dirty = false
	size := p.subsetSize
	if size == 0 {
		size = p.config.SubsetSize
	}
	p.active = chooseSubset(p.entries, p.config.Node, size, p.active[:0])
	for _, e := range p.entries {
		e.inSubset = false
	}
	p.localityEnds = [localityCount]int{}
	for _, e := range p.active {
		e.inSubset = true
		for l := e.locality; l < localityCount; l++ {
			p.localityEnds[l]++
		}
	}
	p.group.Size = len(p.active)
}

// inUseWindow is the time after a request for which a service counts as in use. A
// connection to another node is closed 30 s after its last request.
const inUseWindow = time.Minute

// inUse reports whether the service had a request within inUseWindow.
func (p *pool) inUse(at time.Duration) bool { return p.lastUsed >= 0 && at-p.lastUsed < inUseWindow }

// setSubsetSize sets the largest size of the subset.
func (p *pool) setSubsetSize(size int) {
	if size != p.subsetSize {
		p.subsetSize, p.dirty = size, true
	}
}

// tick updates the mean loads and the median run time, and decays old latencies.
func (p *pool) tick(at time.Duration) {
	p.lastUpdate = at
	p.rebuild()
	p.scratch = p.scratch[:0]
	var load, slots [localityCount]float64
	for _, e := range p.active {
		p.decay(e, at)
		e.latency.advance(e.own, at)
		if e.lastSample > 0 && e.health.Serving() {
			p.scratch = append(p.scratch, max(e.measuredRunTime(p, e.load(p, at), at), e.reportedRunTime))
		}
		if e.reportedAt >= 0 && e.health.Serving() && !e.draining {
			load[e.locality] += e.load(p, at)
			slots[e.locality] += e.slots
		}
	}
	for l := range p.meanLoad {
		if slots[l] > 0 {
			p.meanLoad[l] = load[l] / slots[l]
		}
	}
	if len(p.scratch) > 0 {
		slices.Sort(p.scratch)
		p.medianRunTime = p.scratch[(len(p.scratch)-1)/2]
	}
}

// decayAfter is the age at which a latency without new samples starts to decay
// towards the median, so that a server which is no longer picked is tried again. An
// ejected server is tried with trial requests instead.
const decayAfter = 100 * time.Millisecond

func (p *pool) decay(e *entry, at time.Duration) {
	if at-e.lastSample < decayAfter || e.own > 0 || !e.health.Serving() {
		return
	}
	e.reportedRunTime += (p.medianRunTime - e.reportedRunTime) / 16
	e.baselineRunTime += (p.medianRunTime - e.baselineRunTime) / 64
	e.failureShare -= e.failureShare / 16
}

func (p *pool) state(e *entry, epoch time.Time) ServerState {
	s := ServerState{
		Server: e.Server, Own: e.own, Draining: e.draining, Subset: e.inSubset,
		Load:     e.load(p, p.lastUpdate),
		Latency:  time.Duration(e.runTime(p, e.load(p, p.lastUpdate), p.lastUpdate)),
		Expected: time.Duration(e.expectedLatency(p, p.lastUpdate)),
		Age:      e.age(p.lastUpdate),
		Ramp:     e.ramp(p.config.SlowStart, p.lastUpdate),
		State:    e.health.State(epoch.Add(p.lastUpdate)).String(),
	}
	if s.State != outlier.Serving.String() {
		s.Cause = e.health.Cause().String()
	}
	return s
}

func (e *entry) age(at time.Duration) time.Duration {
	if e.reportedAt < 0 {
		return -1
	}
	return at - e.reportedAt
}
