package experiment

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// epoch is the time.Time at which the fake clock starts.
var epoch = time.Unix(1_800_000_000, 0)

// probePeriod is the interval at which entry nodes probe the servers that their
// routing tables select.
const probePeriod = 100 * time.Millisecond

// routingTables is the policy under test, with a routing.Table for each entry node.
type routingTables struct {
	base
	tables  []*routing.Table
	index   map[string]int
	exclude []string
	targets []routing.ProbeTarget
}

func newRoutingTables(e *emulator) policy {
	p := &routingTables{base: newBase(e), index: map[string]int{}}
	for i, s := range e.servers {
		p.index[s.ID] = i
		t := &routing.Table{Config: routing.Config{
			Node: s.ID, Region: s.Region, Domain: s.Domain, Seed: e.options.Seed,
			LocalDelay: localDelay, DomainDelay: e.deployment.DomainDelay, RegionDelay: e.deployment.RegionDelay,
		}}
		for _, other := range e.servers {
			t.Upsert(other.Server, epoch)
		}
		p.tables = append(p.tables, t)
	}
	e.every(probePeriod, p.probe)
	return p
}

func (p *routingTables) pick(r *request) int {
	p.exclude = p.exclude[:0]
	for _, i := range r.tried {
		p.exclude = append(p.exclude, p.emulator.servers[i].ID)
	}
	for i, dead := range p.emulator.dead[r.entry] {
		if dead {
			p.exclude = append(p.exclude, p.emulator.servers[i].ID)
		}
	}
	q := routing.Request{Service: service, Exclude: p.exclude, Idempotent: r.idempotent, Key: r.id}
	p.observeLocal(r.entry)
	c, ok := p.tables[r.entry].Pick(q, p.emulator.time())
	if !ok {
		return -1
	}
	return p.index[c.ID]
}

// observeLocal records the load of the server beside the entry node, which needs no
// message.
func (p *routingTables) observeLocal(entry int) {
	if s := p.emulator.servers[entry]; s.mode == up {
		p.tables[entry].Observe(service, s.ID, s.load(), p.emulator.time())
	}
}

func (p *routingTables) done(entry, i int, o routing.Outcome, latency time.Duration) {
	p.tables[entry].Done(service, p.emulator.servers[i].ID, o, latency, p.emulator.time())
}

func (p *routingTables) onLoad(entry, i int, l routing.Load) {
	p.tables[entry].Observe(service, p.emulator.servers[i].ID, l, p.emulator.time())
}

func (p *routingTables) suspect(entry, i int) bool {
	return p.tables[entry].Suspect(service, p.emulator.servers[i].ID, p.emulator.time())
}

func (p *routingTables) tick() {
	for _, t := range p.tables {
		t.Tick(p.emulator.time())
	}
}

// probe sends the probes that are due and that the measuring budget permits.
func (p *routingTables) probe() {
	for entry, t := range p.tables {
		p.targets = t.ProbeTargets(p.emulator.time(), p.targets[:0])
		for _, target := range p.targets {
			p.send(entry, p.index[target.ID])
		}
	}
}

func (p *routingTables) send(entry, i int) {
	e := p.emulator
	if e.dead[entry][i] || !e.meter.allow(entry, i, probeBytes) {
		return
	}
	s := e.servers[i]
	delay := e.deployment.delay(e.servers[entry].Server, s.Server)
	e.after(delay, func() {
		if e.partitioned(entry, i) || s.mode == silent || s.mode == crashed || !e.meter.allow(i, entry, probeBytes+loadBytes) {
			return
		}
		l := s.load()
		l.Age = delay
		e.after(delay, func() { p.onLoad(entry, i, l) })
	})
}
