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
	// warmUp is the time before requests are counted and faults begin.
	warmUp = 500 * time.Millisecond
	// idempotentShare is the assumed share of lookups.
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
	// Hedge turns hedging of idempotent requests on.
	Hedge bool
	// Budget bounds the bytes a second that a node spends on measuring over
	// region links; 0 means 1 KB/s.
	Budget float64
}

// world is the state of one run.
type world struct {
	clock
	opt     Options
	dep     Deployment
	servers []*server
	policy  policy
	meter   *meter
	// limits holds those of each entry.
	limits []limits
	// arrivals draws arrivals and run times, faults the plan of the case; the
	// streams are the same for every policy.
	arrivals, faults *rand.Rand
	// dead holds servers that the membership knows to be gone, as seen by
	// each entry.
	dead [][]bool
	// gone holds entries that callers cannot reach.
	gone []bool
	// region is the name of the region that is cut off, or empty.
	region string
	// burst multiplies the arrival rate.
	burst float64

	// waiting holds requests in the order of their deadlines; one event stands
	// for all of them, so that the heap stays small.
	waiting []*request

	next             uint64
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
	w := newWorld(o)
	w.after(0, w.arrive)
	w.every(tickPeriod, w.policy.tick)
	w.every(reportPeriod, w.report)
	o.Case.plan(w)
	w.run(warmUp + o.Length + deadline)
	return w.result()
}

func newWorld(o Options) *world {
	w := &world{
		opt: o, dep: o.Deployment, burst: 1,
		arrivals: rand.New(rand.NewPCG(o.Seed, 1)),
		faults:   rand.New(rand.NewPCG(o.Seed, 2)),
		gone:     make([]bool, o.Deployment.Servers),
	}
	for i := range w.dep.Servers {
		w.servers = append(w.servers, &server{Server: w.dep.server(i), clock: &w.clock, index: i, slow: 1})
		w.dead = append(w.dead, make([]bool, w.dep.Servers))
	}
	w.meter = newMeter(w)
	w.limits = make([]limits, w.dep.Servers)
	w.policy = policies[o.Policy](w)
	return w
}

// arrive handles one arrival and schedules the next.
func (w *world) arrive() {
	if w.now > warmUp+w.opt.Length {
		return
	}
	rate := w.dep.rate(w.opt.Load) * w.burst
	w.after(time.Duration(w.arrivals.ExpFloat64()/rate*float64(time.Second)), w.arrive)
	entry := w.arrivals.IntN(w.dep.Servers)
	r := &request{
		w: w, id: w.next, arrived: w.now,
		idempotent: w.arrivals.Float64() < idempotentShare,
		work:       lognormal(w.arrivals.NormFloat64()),
		entry:      w.reachable(entry),
	}
	w.next++
	w.requests++
	w.watch(r)
	r.attempts.Start(w.limits[r.entry].retries.Grant(service, retry.DefaultRatio, w.time().Add(deadline), w.time()))
	if !r.send(false) {
		r.finish(routing.Refused)
		return
	}
	r.watch()
}

// watch gives the request up at its deadline.
func (w *world) watch(r *request) {
	w.waiting = append(w.waiting, r)
	if len(w.waiting) == 1 {
		w.after(deadline, w.expire)
	}
}

// expire gives up the first request and waits for the next one that runs.
func (w *world) expire() {
	w.waiting[0].expire()
	for len(w.waiting) > 0 && w.waiting[0].done {
		w.waiting = w.waiting[1:]
	}
	if len(w.waiting) > 0 {
		w.after(w.waiting[0].arrived+deadline-w.now, w.expire)
	}
}

// reachable returns the entry that serves the callers of a lost entry: one of
// the same region if possible.
func (w *world) reachable(entry int) int {
	if !w.gone[entry] {
		return entry
	}
	other := -1
	first := w.arrivals.IntN(len(w.servers))
	for k := range w.servers {
		i := (first + k) % len(w.servers)
		if w.gone[i] {
			continue
		}
		if w.servers[i].Region == w.servers[entry].Region {
			return i
		}
		other = i
	}
	return other
}

// cut reports whether nothing passes between two nodes.
func (w *world) cut(a, b int) bool {
	ra, rb := w.servers[a].Region, w.servers[b].Region
	return w.region != "" && ra != rb && (ra == w.region || rb == w.region)
}

// record counts a finished request that arrived in the measured time.
func (w *world) record(r *request, o routing.Outcome) {
	latency := w.now - r.arrived
	l := &w.limits[r.entry]
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
		w.refused++
		latency = deadline
	default:
		w.failed++
		latency = deadline
	}
	w.latencies = append(w.latencies, latency)
	if r.idempotent {
		w.lookups = append(w.lookups, latency)
	}
}

// report sends the periodic load reports of all servers to all entries.
func (w *world) report() {
	if !w.policy.reports() {
		return
	}
	for _, s := range w.servers {
		if s.mode == silent || s.mode == crashed {
			continue
		}
		load := s.load()
		for entry, to := range w.servers {
			if w.cut(entry, s.index) || to.mode == silent {
				continue
			}
			w.meter.count(s.index, entry, reportBytes, 1)
			w.after(w.dep.delay(s.Server, to.Server), func() { w.policy.reported(entry, s.index, load) })
		}
	}
}
