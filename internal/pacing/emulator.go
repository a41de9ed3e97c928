package pacing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tick = time.Millisecond
	// warmUp is the time before requests are counted and the case begins.
	warmUp = 2 * time.Second
	// workSpread is the standard deviation of the logarithm of work.
	workSpread = 0.3
	// retries is how often a caller retries after a refusal. It waits before that for
	// at most the share retryShare of the time left until its deadline.
	retries    = 1
	retryShare = 1.0 / 3
)

// Options describe one run.
type Options struct {
	Pattern Pattern
	Case    Case
	Policy  string
	// Load multiplies the usual rates.
	Load float64
	Seed uint64
	// Length is the measured time; 0 means 20 s.
	Length time.Duration
}

// emulator holds the state of one run.
type emulator struct {
	Options
	now      time.Duration
	servers  []server
	requests []request
	// messages holds the messages by the tick at which they arrive.
	messages map[time.Duration][]message
	policy   policy
	// arrivals generates the requests and slow periods, which are the same for every
	// policy. choices generates the random choices of the policies.
	arrivals, choices *rand.Rand

	probes, handBacks int
}

// server is the state of an emulated server and of its node.
type server struct {
	domain, region int
	// slowUntil is the end of the latest slow period, normalUntil the start of the
	// next one.
	slowUntil, normalUntil time.Duration
	running                int
	removed                bool
	// cold is set while the server is slow because it has just started.
	cold bool
}

// request is the state of a request, identified elsewhere by its index.
type request struct {
	kind, entry int
	arrived     time.Duration
	work        time.Duration
	retried     int
	// ended is when the caller received the answer or gave up; zero before.
	ended  time.Duration
	served bool
}

// messageKind is the kind of the event that a message describes.
type messageKind uint8

const (
	requestArrives messageKind = iota
	runEnds
	responseArrives
	callerRetries
)

// message is an event that takes effect at a later tick.
type message struct {
	kind            messageKind
	request, server int
	// last is set if the policy will try no other server.
	last     bool
	response response
}

// response is the answer or refusal of a server.
type response struct {
	verdict verdict
	load    load
	wait    time.Duration
}

type verdict uint8

const (
	answered verdict = iota
	handedBack
	refused
)

// policy places requests at the entry nodes and admits them at the servers.
type policy interface {
	// place sends a request to a server, or refuses it.
	place(r int)
	// onArrival decides on a request that has arrived at a server.
	onArrival(r, s int, last bool)
	// onRunEnd frees the slot of a run and returns the response for its answer.
	onRunEnd(r, s int) response
	// onRefusal handles a request that a server refused or handed back.
	onRefusal(r, s int, resp response)
	// onLoad records the load that came with an answer or a refusal.
	onLoad(entry, s int, resp response)
	// onRestart is called when a server has been replaced by a new one.
	onRestart(s int)
	// onTick is called once per tick.
	onTick()
}

// Run emulates one run. The same options give the same result.
func Run(o Options) Result {
	if o.Length == 0 {
		o.Length = 20 * time.Second
	}
	e := &emulator{
		Options: o, messages: make(map[time.Duration][]message),
		arrivals: rand.New(rand.NewPCG(o.Seed, 1)),
		choices:  rand.New(rand.NewPCG(o.Seed, 2)),
	}
	for i := range o.Pattern.Servers {
		domain := i % o.Pattern.Domains
		e.servers = append(e.servers, server{domain: domain, region: domain % o.Pattern.Regions})
	}
	e.policy = policies[o.Policy](e)
	end := warmUp + o.Length
	for ; e.now < end+e.longestDeadline(); e.now += tick {
		e.applyCase()
		e.updateSlowPeriods()
		if e.now < end {
			e.addRequests()
		}
		e.deliver()
		e.policy.onTick()
	}
	return e.result()
}

func (e *emulator) longestDeadline() (d time.Duration) {
	for _, k := range e.Pattern.Kinds {
		d = max(d, k.Deadline)
	}
	return d
}

// applyCase starts or ends the disturbance of the case.
func (e *emulator) applyCase() {
	begins, ends := e.now == warmUp, e.now == warmUp+caseDuration
	if !begins && !ends {
		return
	}
	for i := range e.servers {
		switch e.Case {
		case Cold:
			e.servers[i].cold = begins
			if begins {
				e.policy.onRestart(i)
			}
		case Fewer:
			e.servers[i].removed = begins && i%removeEvery == 0
		}
	}
}

// updateSlowPeriods starts the slow periods that other workloads on the hosts cause.
func (e *emulator) updateSlowPeriods() {
	p := &e.Pattern
	meanGap := float64(p.SlowTime) * (1 - p.SlowShare) / p.SlowShare
	for i := range e.servers {
		s := &e.servers[i]
		if e.now < s.slowUntil || e.now < s.normalUntil {
			continue
		}
		if p.Joined {
			e.drawSlowPeriod(s)
			continue
		}
		s.normalUntil = e.now + time.Duration(e.arrivals.ExpFloat64()*meanGap)
		if e.now > 0 {
			s.slowUntil = e.now + p.SlowTime
			s.normalUntil += p.SlowTime
		}
	}
}

// drawSlowPeriod decides whether a server is slow until its next draw. Draws of
// different servers are at different times.
func (e *emulator) drawSlowPeriod(s *server) {
	until := e.now + e.Pattern.SlowTime
	if e.now == 0 {
		until = time.Duration(e.arrivals.Int64N(int64(e.Pattern.SlowTime)))
	}
	if e.arrivals.Float64() < e.Pattern.SlowShare {
		s.slowUntil = until
	}
	s.normalUntil = until
}

// addRequests generates the requests that callers send during this tick.
func (e *emulator) addRequests() {
	load := e.Load
	if e.Case == Burst && e.now >= warmUp && e.now < warmUp+caseDuration {
		load *= burstFactor
	}
	for k, kind := range e.Pattern.Kinds {
		for range poisson(e.arrivals, kind.Rate*load*tick.Seconds()) {
			e.requests = append(e.requests, request{
				kind: k, entry: e.arrivals.IntN(len(e.servers)), arrived: e.now,
				work: time.Duration(float64(kind.Work) * math.Exp(workSpread*e.arrivals.NormFloat64()-workSpread*workSpread/2)),
			})
			e.policy.place(len(e.requests) - 1)
		}
	}
}

// poisson returns a random number with a Poisson distribution.
func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// deliver handles the messages that are due at this tick.
func (e *emulator) deliver() {
	due := e.messages[e.now]
	delete(e.messages, e.now)
	for _, m := range due {
		switch m.kind {
		case requestArrives:
			e.policy.onArrival(m.request, m.server, m.last)
		case runEnds:
			e.servers[m.server].running--
			resp := e.policy.onRunEnd(m.request, m.server)
			e.reply(m.request, m.server, resp)
		case responseArrives:
			e.policy.onLoad(e.requests[m.request].entry, m.server, m.response)
			if m.response.verdict == answered {
				e.finish(m.request, true)
			} else {
				e.policy.onRefusal(m.request, m.server, m.response)
			}
		case callerRetries:
			e.policy.place(m.request)
		}
	}
}

// schedule delivers the message after d, but not before the next tick.
func (e *emulator) schedule(d time.Duration, m message) {
	at := e.now + max(d.Round(tick), tick)
	e.messages[at] = append(e.messages[at], m)
}

// delay returns the one-way delay between a node and a server.
func (e *emulator) delay(entry, s int) time.Duration {
	a, b := &e.servers[entry], &e.servers[s]
	switch {
	case entry == s:
		return 0
	case a.region != b.region:
		return e.Pattern.RegionDelay
	case a.domain != b.domain:
		return e.Pattern.DomainDelay
	default:
		return tick / 5
	}
}

func (e *emulator) send(r, s int, last bool) {
	e.schedule(e.delay(e.requests[r].entry, s), message{kind: requestArrives, request: r, server: s, last: last})
}

func (e *emulator) reply(r, s int, resp response) {
	e.schedule(e.delay(e.requests[r].entry, s), message{kind: responseArrives, request: r, server: s, response: resp})
}

// start runs a request. Its speed depends on the state of the server at the start and
// does not change later.
func (e *emulator) start(r, s int) {
	srv := &e.servers[s]
	srv.running++
	factor := e.slowdown(s)
	if float64(srv.running) > e.Pattern.Knee*float64(e.Pattern.Slots) {
		factor *= e.Pattern.KneeFactor
	}
	e.schedule(time.Duration(float64(e.requests[r].work)*factor), message{kind: runEnds, request: r, server: s})
}

// slowdown returns the factor by which requests that start now take longer than
// usual.
func (e *emulator) slowdown(s int) float64 {
	srv, factor := &e.servers[s], 1.0
	if e.now < srv.slowUntil {
		factor = e.Pattern.SlowFactor
	}
	if srv.cold {
		factor *= coldFactor
	}
	return factor
}

// refuse lets the caller retry after the wait, or ends the request if the caller
// has retried before or its deadline has passed.
func (e *emulator) refuse(r int, wait time.Duration) {
	req := &e.requests[r]
	left := req.arrived + e.Pattern.Kinds[req.kind].Deadline - e.now
	if req.retried >= retries || left <= 0 {
		e.finish(r, false)
		return
	}
	req.retried++
	e.schedule(min(wait, time.Duration(float64(left)*retryShare)), message{kind: callerRetries, request: r})
}

func (e *emulator) finish(r int, served bool) {
	if req := &e.requests[r]; req.ended == 0 {
		req.ended, req.served = e.now, served
	}
}

// deadlines returns the times of the objective and the deadline of a request.
func (e *emulator) deadlines(r int) (objective, deadline time.Duration) {
	req := &e.requests[r]
	kind := &e.Pattern.Kinds[req.kind]
	return req.arrived + kind.Objective, req.arrived + kind.Deadline
}
