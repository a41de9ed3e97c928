package pacing

import (
	"slices"
	"time"
)

// policies holds the constructors of the policies by name.
var policies = map[string]func(*emulator) policy{
	"two-choices": newTwoChoices,
	"answers":     func(e *emulator) policy { return newLimiterPolicy(e, false) },
	"product":     func(e *emulator) policy { return newLimiterPolicy(e, true) },
	"oracle":      newOracle,
}

// Policies returns the names of the policies: two random choices compared by the load
// figures of answers, the product without probes of the slowdown, the product, and a
// central queue that uses the current state of every server.
func Policies() []string { return []string{"two-choices", "answers", "product", "oracle"} }

// load holds the load figures that a server sends with a response.
type load struct {
	running, waiting, limit int
	slowdown                float64
	slowFor, wait           time.Duration
}

// twoChoices sends a request to the less loaded of two random servers, which refuses
// it only if its slots and its queue are full.
type twoChoices struct {
	*emulator
	queues [][]int
	// loads holds the last load that each entry node received from each server,
	// sentSince the number of requests that it has sent there since then.
	loads, sentSince [][]int
}

const (
	// queueFactor bounds the queue of a server in multiples of its slots.
	queueFactor = 2
	// shedWait is the time after which the caller of a refused request retries.
	shedWait = 50 * time.Millisecond
)

func newTwoChoices(e *emulator) policy {
	p := &twoChoices{emulator: e, queues: make([][]int, len(e.servers))}
	for range e.servers {
		p.loads = append(p.loads, make([]int, len(e.servers)))
		p.sentSince = append(p.sentSince, make([]int, len(e.servers)))
	}
	return p
}

func (p *twoChoices) place(r int) {
	entry := p.requests[r].entry
	a, b := p.randomServer(), p.randomServer()
	if p.loads[entry][b]+p.sentSince[entry][b] < p.loads[entry][a]+p.sentSince[entry][a] {
		a = b
	}
	p.sentSince[entry][a]++
	p.send(r, a, true)
}

func (p *twoChoices) randomServer() int {
	for {
		if s := p.choices.IntN(len(p.servers)); !p.servers[s].removed {
			return s
		}
	}
}

func (p *twoChoices) onArrival(r, s int, _ bool) {
	switch {
	case p.servers[s].removed || len(p.queues[s]) >= queueFactor*p.Pattern.Slots:
		p.reply(r, s, response{verdict: refused, wait: shedWait, load: p.load(s)})
	case p.servers[s].running >= p.Pattern.Slots:
		p.queues[s] = append(p.queues[s], r)
	default:
		p.start(r, s)
	}
}

func (p *twoChoices) load(s int) load {
	return load{running: p.servers[s].running, waiting: len(p.queues[s])}
}

func (p *twoChoices) onRunEnd(_, s int) response {
	for len(p.queues[s]) > 0 {
		next := p.queues[s][0]
		p.queues[s] = p.queues[s][1:]
		if _, deadline := p.deadlines(next); p.now < deadline {
			p.start(next, s)
			break
		}
	}
	return response{load: p.load(s)}
}

func (p *twoChoices) onRefusal(r, _ int, resp response) { p.refuse(r, resp.wait) }

func (p *twoChoices) onLoad(entry, s int, resp response) {
	p.loads[entry][s], p.sentSince[entry][s] = resp.load.running+resp.load.waiting, 0
}

func (p *twoChoices) onRestart(int) {}

func (p *twoChoices) onTick() {}

// oracle is the reference for the other policies. It holds all requests in one queue,
// uses the current state and the knee of every server, and starts a request at the
// nearest server that is not slow at that moment.
type oracle struct {
	*emulator
	queue []int
	limit int
}

func newOracle(e *emulator) policy {
	return &oracle{emulator: e, limit: int(e.Pattern.Knee * float64(e.Pattern.Slots))}
}

func (o *oracle) place(r int) { o.queue = append(o.queue, r) }

func (o *oracle) onArrival(int, int, bool) {}

func (o *oracle) onRunEnd(int, int) response { return response{} }

func (o *oracle) onRefusal(int, int, response) {}

func (o *oracle) onLoad(int, int, response) {}

func (o *oracle) onRestart(int) {}

// onTick starts the requests that can meet their objective, those of the most urgent
// kind first, and then the late ones.
func (o *oracle) onTick() {
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
		if _, deadline := o.deadlines(r); o.now+o.requests[r].work > deadline {
			o.finish(r, false)
			return true
		}
		s := o.best(o.requests[r].entry)
		if s < 0 {
			return false
		}
		o.start(r, s)
		return true
	})
}

// late returns 1 for a request that can no longer meet its objective, otherwise 0.
func (o *oracle) late(r int) int {
	if objective, _ := o.deadlines(r); o.now+o.requests[r].work > objective {
		return 1
	}
	return 0
}

// best returns the nearest server with a free slot that is not slow, or -1.
func (o *oracle) best(entry int) int {
	best, at := -1, time.Duration(0)
	for s := range o.servers {
		srv := &o.servers[s]
		if srv.removed || srv.running >= o.limit || o.now < srv.slowUntil {
			continue
		}
		if d := o.delay(entry, s); best < 0 || d < at {
			best, at = s, d
		}
	}
	return best
}
