package pacing

import (
	"slices"
	"time"
)

// policies make the policies by their names.
var policies = map[string]func(*world) policy{
	"two-choices": newTwoChoices,
	"answers":     func(w *world) policy { return newGated(w, false) },
	"product":     func(w *world) policy { return newGated(w, true) },
	"oracle":      newOracle,
}

// Policies returns the names of the policies: two choices by the load on
// answers, the product with the pace of answers only, the product, and a queue
// that knows every server.
func Policies() []string { return []string{"two-choices", "answers", "product", "oracle"} }

// load is what a server tells.
type load struct {
	running, waiting, limit int
	pace                    float64
	wait                    time.Duration
}

// twoChoices sends a request to the less loaded of two servers, which takes all
// that its slots and its queue hold.
type twoChoices struct {
	*world
	queues [][]int
	// loads holds what each entry was told last, and since what it has sent there
	// since then.
	loads, since [][]int
}

const (
	// queueFactor bounds the queue of a server in multiples of its slots.
	queueFactor = 2
	// shedWait is when the caller of a request that was shed comes back.
	shedWait = 50 * time.Millisecond
)

func newTwoChoices(w *world) policy {
	p := &twoChoices{world: w, queues: make([][]int, len(w.servers))}
	for range w.servers {
		p.loads = append(p.loads, make([]int, len(w.servers)))
		p.since = append(p.since, make([]int, len(w.servers)))
	}
	return p
}

func (p *twoChoices) place(r int) {
	entry := p.requests[r].entry
	a, b := p.draw(), p.draw()
	if p.loads[entry][b]+p.since[entry][b] < p.loads[entry][a]+p.since[entry][a] {
		a = b
	}
	p.since[entry][a]++
	p.send(r, a, true)
}

func (p *twoChoices) draw() int {
	for {
		if s := p.choices.IntN(len(p.servers)); !p.servers[s].gone {
			return s
		}
	}
}

func (p *twoChoices) reach(r, s int, _ bool) {
	switch {
	case p.servers[s].gone || len(p.queues[s]) >= queueFactor*p.Pattern.Slots:
		p.tell(r, s, told{verdict: turnedAway, wait: shedWait, load: p.load(s)})
	case p.servers[s].running >= p.Pattern.Slots:
		p.queues[s] = append(p.queues[s], r)
	default:
		p.begin(r, s)
	}
}

func (p *twoChoices) load(s int) load {
	return load{running: p.servers[s].running, waiting: len(p.queues[s])}
}

func (p *twoChoices) ended(_, s int) told {
	for len(p.queues[s]) > 0 {
		next := p.queues[s][0]
		p.queues[s] = p.queues[s][1:]
		if _, deadline := p.due(next); p.now < deadline {
			p.begin(next, s)
			break
		}
	}
	return told{load: p.load(s)}
}

func (p *twoChoices) returned(r, _ int, t told) { p.refuse(r, t.wait) }

func (p *twoChoices) observe(entry, s int, t told) {
	p.loads[entry][s], p.since[entry][s] = t.load.running+t.load.waiting, 0
}

func (p *twoChoices) restarted(int) {}

func (p *twoChoices) each() {}

// oracle holds all requests in one queue and begins each where it ends first, at
// a moment when that server is not slow. It knows the knee.
type oracle struct {
	*world
	queue []int
	limit int
}

func newOracle(w *world) policy {
	return &oracle{world: w, limit: int(w.Pattern.Knee * float64(w.Pattern.Slots))}
}

func (o *oracle) place(r int) { o.queue = append(o.queue, r) }

func (o *oracle) reach(int, int, bool) {}

func (o *oracle) ended(int, int) told { return told{} }

func (o *oracle) returned(int, int, told) {}

func (o *oracle) observe(int, int, told) {}

func (o *oracle) restarted(int) {}

// each begins what can be on time, most worth first, then what is late.
func (o *oracle) each() {
	slices.SortStableFunc(o.queue, func(a, b int) int {
		if late := o.late(a) - o.late(b); late != 0 {
			return late
		}
		if by := o.requests[a].kind - o.requests[b].kind; by != 0 {
			return by
		}
		return a - b
	})
	o.queue = slices.DeleteFunc(o.queue, func(r int) bool {
		if _, deadline := o.due(r); o.now+o.requests[r].work > deadline {
			o.end(r, false)
			return true
		}
		s := o.best(o.requests[r].entry)
		if s < 0 {
			return false
		}
		o.begin(r, s)
		return true
	})
}

// late returns 1 for a request that cannot be on time any more.
func (o *oracle) late(r int) int {
	if objective, _ := o.due(r); o.now+o.requests[r].work > objective {
		return 1
	}
	return 0
}

// best returns the nearest server with a free slot that is not slow, or -1.
func (o *oracle) best(entry int) int {
	best, at := -1, time.Duration(0)
	for s := range o.servers {
		row := &o.servers[s]
		if row.gone || row.running >= o.limit || o.now < row.slowUntil {
			continue
		}
		if d := o.travel(entry, s); best < 0 || d < at {
			best, at = s, d
		}
	}
	return best
}
