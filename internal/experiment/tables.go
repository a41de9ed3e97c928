package experiment

import (
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// epoch is the instant at which the fake clock starts.
var epoch = time.Unix(1_800_000_000, 0)

// probePeriod is the time between two looks for servers to probe.
const probePeriod = 100 * time.Millisecond

// tables is the policy under test: a routing.Table for each entry.
type tables struct {
	base
	of      []*routing.Table
	index   map[string]int
	exclude []string
	targets []routing.ProbeTarget
}

func newTables(w *world) policy {
	p := &tables{base: newBase(w), index: map[string]int{}}
	for i, s := range w.servers {
		p.index[s.ID] = i
		t := &routing.Table{Config: routing.Config{
			Node: s.ID, Region: s.Region, Domain: s.Domain, Seed: w.opt.Seed,
			LocalDelay: localDelay, DomainDelay: w.dep.DomainDelay, RegionDelay: w.dep.RegionDelay,
		}}
		for _, other := range w.servers {
			t.Upsert(other.Server, epoch)
		}
		p.of = append(p.of, t)
	}
	w.every(probePeriod, p.probe)
	return p
}

func (p *tables) pick(r *request) int {
	p.exclude = p.exclude[:0]
	for _, i := range r.tried {
		p.exclude = append(p.exclude, p.w.servers[i].ID)
	}
	for i, dead := range p.w.dead[r.entry] {
		if dead {
			p.exclude = append(p.exclude, p.w.servers[i].ID)
		}
	}
	q := routing.Request{Service: service, Exclude: p.exclude, Idempotent: r.idempotent, Key: r.id}
	p.observeOwn(r.entry)
	c, ok := p.of[r.entry].Pick(q, p.w.time())
	if !ok {
		return -1
	}
	return p.index[c.ID]
}

// observeOwn takes in the load of the server beside the entry, which costs no
// message.
func (p *tables) observeOwn(entry int) {
	if s := p.w.servers[entry]; s.mode == up {
		p.of[entry].Observe(service, s.ID, s.load(), p.w.time())
	}
}

func (p *tables) done(entry, i int, o routing.Outcome, latency time.Duration) {
	p.of[entry].Done(service, p.w.servers[i].ID, o, latency, p.w.time())
}

func (p *tables) loaded(entry, i int, l routing.Load) {
	p.of[entry].Observe(service, p.w.servers[i].ID, l, p.w.time())
}

func (p *tables) suspect(entry, i int) bool {
	return p.of[entry].Suspect(service, p.w.servers[i].ID, p.w.time())
}

func (p *tables) tick() {
	for _, t := range p.of {
		t.Tick(p.w.time())
	}
}

// probe sends the probes that are due and that the budget allows.
func (p *tables) probe() {
	for entry, t := range p.of {
		p.targets = t.ProbeTargets(p.w.time(), p.targets[:0])
		for _, target := range p.targets {
			p.send(entry, p.index[target.ID])
		}
	}
}

func (p *tables) send(entry, i int) {
	w := p.w
	if w.dead[entry][i] || !w.meter.allow(entry, i, probeBytes) {
		return
	}
	s := w.servers[i]
	delay := w.dep.delay(w.servers[entry].Server, s.Server)
	w.after(delay, func() {
		if w.cut(entry, i) || s.mode == silent || s.mode == crashed || !w.meter.allow(i, entry, probeBytes+loadBytes) {
			return
		}
		l := s.load()
		l.Age = delay
		w.after(delay, func() { p.loaded(entry, i, l) })
	})
}
