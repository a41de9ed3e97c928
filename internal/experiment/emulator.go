package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	tickPeriod   = 10 * time.Millisecond
	reportPeriod = 100 * time.Millisecond
	// warmUp is the time before requests are counted and faults start.
	warmUp = 500 * time.Millisecond
	// idempotentShare is the share of lookups, which are idempotent.
	idempotentShare = 0.8
)

// Options describe one run.
type Options struct {
	Deployment Deployment
	Case       Case
	Policy     string
	Load       float64
	Seed       uint64
	// Length is the measured time; 0 means 5 s.
	Length time.Duration
	// Hedge enables hedging of idempotent requests.
	Hedge bool
	// Budget is the measuring budget of a node for links between regions, in bytes
	// per second; 0 means 1 KB/s.
	Budget float64
}

// emulator holds the state of one run.
type emulator struct {
	clock
	options    Options
	deployment Deployment
	servers    []*server
	policy     policy
	meter      *meter
	// retryLimits holds the retry budget and the hedger of each entry node.
	retryLimits []retryLimits
	// arrivals generates the arrivals and run times, faults the disturbances of the
	// case. Both streams are the same for every policy.
	arrivals, faults *rand.Rand
	// dead marks the servers that the membership has declared dead, as seen by each
	// entry node.
	dead [][]bool
	// unreachable marks the entry nodes that callers cannot reach.
	unreachable []bool
	// partitionedRegion is the region without links to the others, or empty.
	partitionedRegion string
	// burst multiplies the arrival rate.
	burst float64

	// pending holds requests in the order of their deadlines. They share one event of
	// the clock, so that its heap stays small.
	pending []*request

	nextID           uint64
	latencies        []time.Duration
	lookups          []time.Duration // latencies of idempotent requests
	attempts, wasted int
	hedges           int
	refused, failed  int
	requests         int
}

// Run executes one run.
func Run(o Options) Result {
	if o.Length == 0 {
		o.Length = 5 * time.Second
	}
	e := newEmulator(o)
	e.after(0, e.arrive)
	e.every(tickPeriod, e.policy.tick)
	e.every(reportPeriod, e.sendReports)
	o.Case.plan(e)
	e.run(warmUp + o.Length + deadline)
	return e.result()
}

func newEmulator(o Options) *emulator {
	e := &emulator{
		options: o, deployment: o.Deployment, burst: 1,
		arrivals:    rand.New(rand.NewPCG(o.Seed, 1)),
		faults:      rand.New(rand.NewPCG(o.Seed, 2)),
		unreachable: make([]bool, o.Deployment.Servers),
	}
	for i := range e.deployment.Servers {
		e.servers = append(e.servers, &server{Server: e.deployment.server(i), clock: &e.clock, index: i, slowdown: 1})
		e.dead = append(e.dead, make([]bool, e.deployment.Servers))
	}
	e.meter = newMeter(e)
	e.retryLimits = make([]retryLimits, e.deployment.Servers)
	e.policy = policies[o.Policy](e)
	return e
}

// arrive handles one arrival and schedules the next.
func (e *emulator) arrive() {
	if e.now > warmUp+e.options.Length {
		return
	}
	rate := e.deployment.rate(e.options.Load) * e.burst
	e.after(time.Duration(e.arrivals.ExpFloat64()/rate*float64(time.Second)), e.arrive)
	entry := e.arrivals.IntN(e.deployment.Servers)
	r := &request{
		emulator: e, id: e.nextID, arrived: e.now,
		idempotent: e.arrivals.Float64() < idempotentShare,
		work:       lognormal(e.arrivals.NormFloat64()),
		entry:      e.reachableEntry(entry),
	}
	e.nextID++
	e.requests++
	e.watchDeadline(r)
	r.attempts.Start(e.retryLimits[r.entry].retries.Grant(service, retry.DefaultRatio, e.time().Add(deadline), e.time()))
	if !r.send(false) {
		r.finish(routing.Refused)
		return
	}
	r.startHedgeTimers()
}

// watchDeadline ends the request at its deadline if it has not finished before.
func (e *emulator) watchDeadline(r *request) {
	e.pending = append(e.pending, r)
	if len(e.pending) == 1 {
		e.after(deadline, e.expire)
	}
}

// expire ends the first pending request and schedules the deadline of the next one
// that has not finished.
func (e *emulator) expire() {
	e.pending[0].expire()
	for len(e.pending) > 0 && e.pending[0].done {
		e.pending = e.pending[1:]
	}
	if len(e.pending) > 0 {
		e.after(e.pending[0].arrived+deadline-e.now, e.expire)
	}
}

// reachableEntry returns the entry node itself, or if callers cannot reach it, another
// one to which they connect, in the same region if possible.
func (e *emulator) reachableEntry(entry int) int {
	if !e.unreachable[entry] {
		return entry
	}
	other := -1
	first := e.arrivals.IntN(len(e.servers))
	for k := range e.servers {
		i := (first + k) % len(e.servers)
		if e.unreachable[i] {
			continue
		}
		if e.servers[i].Region == e.servers[entry].Region {
			return i
		}
		other = i
	}
	return other
}

// partitioned reports whether two nodes cannot exchange messages.
func (e *emulator) partitioned(a, b int) bool {
	ra, rb := e.servers[a].Region, e.servers[b].Region
	return e.partitionedRegion != "" && ra != rb && (ra == e.partitionedRegion || rb == e.partitionedRegion)
}

// record updates the retry budget and the hedger with a finished request, and counts
// the request unless it arrived during the warm-up.
func (e *emulator) record(r *request, o routing.Outcome) {
	latency := e.now - r.arrived
	l := &e.retryLimits[r.entry]
	l.retries.Put(service, retry.DefaultRatio, r.attempts.Left())
	if r.idempotent && o != routing.Refused {
		l.hedger.Observe(service, class, latency)
	}
	if r.arrived < warmUp {
		return
	}
	switch o {
	case routing.Answered:
	case routing.Refused:
		e.refused++
		latency = deadline
	default:
		e.failed++
		latency = deadline
	}
	e.latencies = append(e.latencies, latency)
	if r.idempotent {
		e.lookups = append(e.lookups, latency)
	}
}

// sendReports sends the periodic load reports of all servers to all entry nodes.
func (e *emulator) sendReports() {
	if !e.policy.usesReports() {
		return
	}
	for _, s := range e.servers {
		if s.mode == silent || s.mode == crashed {
			continue
		}
		load := s.load()
		for entry, to := range e.servers {
			if e.partitioned(entry, s.index) || to.mode == silent {
				continue
			}
			e.meter.count(s.index, entry, reportBytes, 1)
			e.after(e.deployment.delay(s.Server, to.Server), func() { e.policy.onReport(entry, s.index, load) })
		}
	}
}
