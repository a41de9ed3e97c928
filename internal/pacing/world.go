package pacing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	tick = time.Millisecond
	// warmUp is the time before requests count and the case begins.
	warmUp = 2 * time.Second
	// workSpread is the standard deviation of the logarithm of work.
	workSpread = 0.3
	// retries is how often a caller comes back after a refusal, and retryShare the
	// part of its time left that it waits at most.
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

// world holds the tables of one run.
type world struct {
	Options
	now      time.Duration
	servers  []server
	requests []request
	// messages holds what arrives at each tick.
	messages map[time.Duration][]message
	policy   policy
	// arrivals draws what every policy gets alike: requests and spells. choices
	// draws for the policies.
	arrivals, choices *rand.Rand

	probes, handBacks int
}

// server is a row of the table of servers.
type server struct {
	zone, region int
	// slowUntil is the end of the present spell, calmUntil that of the time
	// between two.
	slowUntil, calmUntil time.Duration
	running              int
	gone                 bool
	// cold is set while the server is slow after its start.
	cold bool
}

// request is a row of the table of requests. Its number stands for it elsewhere.
type request struct {
	kind, entry int
	first       time.Duration
	work        time.Duration
	tries       int
	// ended is when the caller got its answer or gave up; zero before.
	ended  time.Duration
	served bool
}

// messageKind says what a message is.
type messageKind uint8

const (
	toServer messageKind = iota
	runEnds
	toEntry
	comesBack
)

// message is something that arrives at a tick.
type message struct {
	kind            messageKind
	request, server int
	// last is set on the way to a server when no other will be asked.
	last bool
	told told
}

// told is what a server says with an answer or a refusal.
type told struct {
	verdict verdict
	load    load
	wait    time.Duration
}

type verdict uint8

const (
	answered verdict = iota
	handedBack
	turnedAway
)

// policy places requests and decides at the servers.
type policy interface {
	// place sends a request to a server, or refuses it.
	place(r int)
	// reach decides on a request that has come to a server.
	reach(r, s int, last bool)
	// ended frees the slot of a run and returns what is told with its answer.
	ended(r, s int) told
	// returned takes a refusal of a server.
	returned(r, s int, t told)
	// observe takes the load that came with an answer or a refusal.
	observe(entry, s int, t told)
	// restarted is called when a server has been replaced by a new one.
	restarted(s int)
	// each runs once a tick.
	each()
}

// Run emulates one run. The same options give the same result.
func Run(o Options) Result {
	if o.Length == 0 {
		o.Length = 20 * time.Second
	}
	w := &world{
		Options: o, messages: make(map[time.Duration][]message),
		arrivals: rand.New(rand.NewPCG(o.Seed, 1)),
		choices:  rand.New(rand.NewPCG(o.Seed, 2)),
	}
	for i := range o.Pattern.Servers {
		zone := i % o.Pattern.Domains
		w.servers = append(w.servers, server{zone: zone, region: zone % o.Pattern.Regions})
	}
	w.policy = policies[o.Policy](w)
	end := warmUp + o.Length
	for ; w.now < end+w.longest(); w.now += tick {
		w.change()
		w.spells()
		if w.now < end {
			w.arrive()
		}
		w.deliver()
		w.policy.each()
	}
	return w.result()
}

func (w *world) longest() (d time.Duration) {
	for _, k := range w.Pattern.Kinds {
		d = max(d, k.Deadline)
	}
	return d
}

// change is the system of the case.
func (w *world) change() {
	begins, ends := w.now == warmUp, w.now == warmUp+caseTime
	if !begins && !ends {
		return
	}
	for i := range w.servers {
		switch w.Case {
		case Cold:
			w.servers[i].cold = begins
			if begins {
				w.policy.restarted(i)
			}
		case Fewer:
			w.servers[i].gone = begins && i%fewerEach == 0
		}
	}
}

// spells is the system of the neighbours.
func (w *world) spells() {
	p := &w.Pattern
	calm := float64(p.SlowTime) * (1 - p.SlowShare) / p.SlowShare
	for i := range w.servers {
		s := &w.servers[i]
		if w.now < s.slowUntil || w.now < s.calmUntil {
			continue
		}
		s.calmUntil = w.now + time.Duration(w.arrivals.ExpFloat64()*calm)
		if w.now > 0 {
			s.slowUntil = w.now + p.SlowTime
			s.calmUntil += p.SlowTime
		}
	}
}

// arrive is the system of the callers.
func (w *world) arrive() {
	load := w.Load
	if w.Case == Burst && w.now >= warmUp && w.now < warmUp+caseTime {
		load *= burstFactor
	}
	for k, kind := range w.Pattern.Kinds {
		for range poisson(w.arrivals, kind.Rate*load*tick.Seconds()) {
			w.requests = append(w.requests, request{
				kind: k, entry: w.arrivals.IntN(len(w.servers)), first: w.now,
				work: time.Duration(float64(kind.Work) * math.Exp(workSpread*w.arrivals.NormFloat64()-workSpread*workSpread/2)),
			})
			w.policy.place(len(w.requests) - 1)
		}
	}
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// deliver is the system of what arrives.
func (w *world) deliver() {
	due := w.messages[w.now]
	delete(w.messages, w.now)
	for _, m := range due {
		switch m.kind {
		case toServer:
			w.policy.reach(m.request, m.server, m.last)
		case runEnds:
			w.servers[m.server].running--
			t := w.policy.ended(m.request, m.server)
			w.tell(m.request, m.server, t)
		case toEntry:
			w.policy.observe(w.requests[m.request].entry, m.server, m.told)
			if m.told.verdict == answered {
				w.end(m.request, true)
			} else {
				w.policy.returned(m.request, m.server, m.told)
			}
		case comesBack:
			w.policy.place(m.request)
		}
	}
}

func (w *world) after(d time.Duration, m message) {
	at := w.now + max(d.Round(tick), tick)
	w.messages[at] = append(w.messages[at], m)
}

// travel is the one-way time between a node and a server.
func (w *world) travel(entry, s int) time.Duration {
	a, b := &w.servers[entry], &w.servers[s]
	switch {
	case entry == s:
		return 0
	case a.region != b.region:
		return w.Pattern.RegionDelay
	case a.zone != b.zone:
		return w.Pattern.DomainDelay
	default:
		return tick / 5
	}
}

func (w *world) send(r, s int, last bool) {
	w.after(w.travel(w.requests[r].entry, s), message{kind: toServer, request: r, server: s, last: last})
}

func (w *world) tell(r, s int, t told) {
	w.after(w.travel(w.requests[r].entry, s), message{kind: toEntry, request: r, server: s, told: t})
}

// begin runs a request. What holds at its start holds until its end.
func (w *world) begin(r, s int) {
	row := &w.servers[s]
	row.running++
	factor := w.pace(s)
	if float64(row.running) > w.Pattern.Knee*float64(w.Pattern.Slots) {
		factor *= w.Pattern.KneeFactor
	}
	w.after(time.Duration(float64(w.requests[r].work)*factor), message{kind: runEnds, request: r, server: s})
}

// pace returns how long work takes that begins now, as a multiple of the usual.
func (w *world) pace(s int) float64 {
	row, factor := &w.servers[s], 1.0
	if w.now < row.slowUntil {
		factor = w.Pattern.SlowFactor
	}
	if row.cold {
		factor *= coldFactor
	}
	return factor
}

// refuse tells the caller to come back after a while.
func (w *world) refuse(r int, wait time.Duration) {
	row := &w.requests[r]
	left := row.first + w.Pattern.Kinds[row.kind].Deadline - w.now
	if row.tries >= retries || left <= 0 {
		w.end(r, false)
		return
	}
	row.tries++
	w.after(min(wait, time.Duration(float64(left)*retryShare)), message{kind: comesBack, request: r})
}

func (w *world) end(r int, served bool) {
	if row := &w.requests[r]; row.ended == 0 {
		row.ended, row.served = w.now, served
	}
}

// due returns when the objective and the deadline of a request are.
func (w *world) due(r int) (objective, deadline time.Duration) {
	row := &w.requests[r]
	kind := &w.Pattern.Kinds[row.kind]
	return row.first + kind.Objective, row.first + kind.Deadline
}
