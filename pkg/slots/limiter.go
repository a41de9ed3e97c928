package slots

import (
	"time"
)

// Limiter decides on each request for one backend server. It runs on the node beside
// the server, so it alone counts the server's running requests exactly and knows its
// slowdown to within milliseconds.
//
// Load pattern: other tenants of the host slow a server down by a factor of five for
// periods of 150 ms, and a request that starts in such a slow period keeps its speed
// to the end. The load figures of the nodes that receive requests from callers are
// older than a slow period, so the limiter hands a request back in a slow period or
// when all slots are taken, and the sending node tries another server at the cost of
// one round trip. The last server that a node may try queues the request if its
// objective can still be met, or if only the slow period prevents that: a request
// that starts in a slow period takes five times as long and occupies its slot for
// the time of five requests. A request that has to wait for a slot and would miss
// its objective is refused at once. A request does not start on a slowdown figure
// older than a few milliseconds: the server is probed first, which costs less than
// the one request in fifteen that would otherwise be late.
//
// The zero value has no slots and hands everything back. Limiter is not safe for
// concurrent use.
type Limiter struct {
	Slowdown Slowdown
	Limit    Limit
	// Health tracks failed requests.
	Health Health
	// durations holds the mean duration of requests by kind, without slow periods.
	durations    map[string]*mean
	allDurations mean
	running      int
	queue        []*Run
	// saturatedAt is when a request that could meet its objective last found no
	// slot.
	saturatedAt time.Time
	// closed is set while the server takes no new requests.
	closed bool
}

// Request describes a request that needs a slot.
type Request struct {
	// Kind groups requests of similar duration.
	Kind string
	// Transfer is how long the answer takes on the host's link after the run.
	Transfer time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is the time after which the answer loses most of its value, Deadline
	// the time after which it has none.
	Objective, Deadline time.Time
	// Last is set when the sending node will try no other server.
	Last bool
	// Probed is set when the server has just been probed for its slowdown.
	Probed bool
	// Wake is called when a queued request may run (true) or is refused (false).
	Wake func(run bool)
}

// Verdict is the decision on a request.
type Verdict uint8

const (
	// Start means that the request runs now.
	Start Verdict = iota
	// Wait means that the request is queued until Wake is called.
	Wait
	// HandBack means that the sending node should try another server.
	HandBack
	// Refuse means that the request cannot be served in time.
	Refuse
	// Probe means that the slowdown figure is too old. The caller probes the server
	// and enters the request again.
	Probe
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	return [...]string{"start", "wait", "hand-back", "turn-away", "look"}[v]
}

// Run is a request that runs or is queued.
type Run struct {
	Request
	entered time.Time
	started time.Time
	// slow is set when the request started in a slow period; floor is the baseline
	// slowdown at that time.
	slow  bool
	floor float64
	// level is the number of running requests when this one started, itself
	// included.
	level   int
	waiting bool
	// late is set for a queued request that will miss its objective and waits for
	// the end of a slow period, at most until the given time.
	late  bool
	until time.Time
	// delayedSince is when a request with a reserved slot was first kept from
	// starting.
	delayedSince time.Time
}

// Until returns when Tick should be called again for a queued request.
func (r *Run) Until() time.Time { return r.until }

// Load holds the load figures of a server that are sent to other nodes.
type Load struct {
	Running, Waiting, Limit, Slots int
	Slowdown                       float64
	// SlowFor is how long other nodes should avoid the server because of the slow
	// period; zero outside slow periods. It is a whole period: a request that arrives
	// before the end is handed back and costs a round trip.
	SlowFor time.Duration
	// Wait is the expected wait for a slot.
	Wait time.Duration
}

type mean struct {
	value   float64
	samples float64
}

const (
	// meanWindow is the number of runs that a mean duration is taken over.
	meanWindow = 50
	// defaultDuration is the expected duration of a request until some have run.
	defaultDuration = 50 * time.Millisecond
	// queueFactor bounds the queue in multiples of the limit: a request that takes a
	// third of its objective and is queued behind more could not start in time.
	queueFactor = 3
	// lateShare is the share of slots that requests beyond their objective may use.
	// saturatedLateShare is that share while requests that can still meet their
	// objective are refused; an answer within the objective is worth ten times as
	// much as a late one.
	lateShare          = 0.75
	saturatedLateShare = 0.25
	// saturationTime is how long the server counts as saturated after a request
	// found no slot.
	saturationTime = 300 * time.Millisecond
)

func (m *mean) add(v float64) {
	m.samples = min(m.samples+1, meanWindow)
	m.value += (v - m.value) / m.samples
}

// SetClosed stops or resumes the admission of new requests.
func (l *Limiter) SetClosed(closed bool) { l.closed = closed }

// Closed reports whether no new requests are admitted.
func (l *Limiter) Closed() bool { return l.closed }

// Restarted discards the slowdown and failure figures, because a new server process
// has started. The concurrency limit stays, because it depends on the host.
func (l *Limiter) Restarted() { l.Slowdown, l.Health = Slowdown{}, Health{} }

// Running returns the number of requests that the server is running.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the number of queued requests.
func (l *Limiter) Waiting() int { return len(l.queue) }

// UsualDuration returns the mean duration of a kind of request outside slow periods.
func (l *Limiter) UsualDuration(kind string) time.Duration {
	if m := l.durations[kind]; m != nil && m.samples >= 3 {
		return time.Duration(m.value * l.Slowdown.Baseline())
	}
	return l.typicalDuration()
}

func (l *Limiter) typicalDuration() time.Duration {
	if l.allDurations.samples >= 3 {
		return time.Duration(l.allDurations.value * l.Slowdown.Baseline())
	}
	return defaultDuration
}

// Enter decides on a request. The run is nil unless the verdict is Start or Wait.
func (l *Limiter) Enter(req Request, now time.Time) (*Run, Verdict) {
	if l.closed || l.Limit.Current() == 0 {
		return nil, HandBack
	}
	run := &Run{Request: req, entered: now}
	work := l.UsualDuration(req.Kind) + req.Transfer
	late := !req.Objective.IsZero() && now.Add(work).After(req.Objective)
	slotFree := l.running < l.Limit.Current() && !l.hasQueued(req.Priority)
	if late && req.Last && !l.lateSlotFree(now) {
		slotFree = false
	}
	if !late && l.running >= l.Limit.Current() {
		l.saturatedAt = now
	}
	if slotFree && !req.Probed && l.Slowdown.Stale(now) {
		return nil, Probe
	}
	switch {
	case late && req.Transfer > 0 && !req.Last:
		return nil, HandBack // the link of another host may be free
	case slotFree && l.shouldStart(req, work, now):
		l.start(run, now)
		return run, Start
	case !req.Last:
		return nil, HandBack
	case late || now.Add(l.Estimate(req.Priority)+work).After(req.Objective):
		if !l.awaitSlowPeriodEnd(run, work, now) {
			return nil, Refuse
		}
	case len(l.queue) >= queueFactor*l.Limit.Current() && !l.evict(req.Priority):
		return nil, Refuse
	default:
		run.until = req.Objective.Add(-work)
	}
	run.waiting = true
	l.insert(run)
	return run, Wait
}

// awaitSlowPeriodEnd marks a run that will miss its objective to wait for the end of
// the slow period. It reports false if there is no slow period, no slot for late
// requests or no time to wait.
func (l *Limiter) awaitSlowPeriodEnd(run *Run, work time.Duration, now time.Time) bool {
	if !l.Slowdown.Slow(now) || !l.lateSlotFree(now) {
		return false
	}
	lastStart := run.Deadline.Add(-work)
	if now.Add(l.Slowdown.Remaining(now)).After(lastStart) {
		return false
	}
	run.late, run.until = true, now.Add(l.Slowdown.Period())
	if run.until.After(lastStart) {
		run.until = lastStart
	}
	return true
}

// shouldStart reports whether a request with a free slot should start at the current
// slowdown.
func (l *Limiter) shouldStart(req Request, work time.Duration, now time.Time) bool {
	switch {
	case !req.Last:
		return !l.Slowdown.Slow(now) && l.Health.Admit(now)
	case !l.Slowdown.Slow(now):
		return true
	}
	// A slow run occupies its slot for the time of several others. It starts if
	// slots are idle and it still meets its objective, or if it ends sooner than
	// after the slow period.
	slowed := l.slowed(work, now)
	idle := 2*l.running < l.Limit.Current()
	return idle && !now.Add(slowed).After(req.Objective) || slowed <= l.Slowdown.Remaining(now)+work
}

// slowed returns the duration of a request that starts at the current slowdown,
// given its usual duration.
func (l *Limiter) slowed(work time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(work) * l.Slowdown.Factor(now) / l.Slowdown.Baseline())
}

// Estimate returns the expected wait for a slot of a request of the given priority.
func (l *Limiter) Estimate(priority int) time.Duration {
	limit := l.Limit.Current()
	if limit == 0 {
		return time.Second
	}
	ahead := 0
	for _, r := range l.queue {
		if r.Priority <= priority {
			ahead++
		}
	}
	over := l.running - limit + 1 + ahead
	if over <= 0 {
		return 0
	}
	each := float64(l.typicalDuration()) / float64(limit)
	return time.Duration(float64(over) * each)
}

func (l *Limiter) start(run *Run, now time.Time) {
	l.running++
	run.waiting = false
	run.started, run.slow, run.floor, run.level = now, l.Slowdown.Slow(now), l.Slowdown.Baseline(), l.running
}

// Leave ends a run or removes it from the queue. The duration counts for the mean
// only if counts is set, because the server did the work.
func (l *Limiter) Leave(run *Run, counts bool, now time.Time) {
	if run.waiting {
		l.remove(run)
		return
	}
	if run.started.IsZero() {
		return
	}
	if counts {
		l.record(run, now)
	}
	l.running--
	l.Tick(now)
}

func (l *Limiter) record(run *Run, now time.Time) {
	if run.slow {
		return // the duration reflects the load of the host, not the server
	}
	took := float64(now.Sub(run.started)) / run.floor
	if l.durations == nil {
		l.durations = make(map[string]*mean)
	}
	m := l.durations[run.Kind]
	if m == nil {
		m = &mean{}
		l.durations[run.Kind] = m
	}
	if m.samples >= 3 {
		l.Limit.Observe(run.level, took/m.value)
	}
	// The mean takes only runs at low concurrency. Otherwise the slowdown at high
	// concurrency would become part of the mean that it is compared with.
	if m.samples < 3 || 2*run.level <= l.Limit.Slots()+2 || run.level <= l.Limit.Slots()*2/3 {
		m.add(took)
	}
	l.allDurations.add(took)
}

// Begin reports whether a run with a reserved slot should start now, and records the
// slowdown at its start. Otherwise the caller tries again after a short pause.
func (l *Limiter) Begin(run *Run, now time.Time) bool {
	if run.delayedSince.IsZero() {
		run.delayedSince = now
	}
	work := l.UsualDuration(run.Kind)
	if l.Slowdown.Slow(now) && now.Before(run.delayedSince.Add(l.Slowdown.Period())) && l.slowed(work, now) > l.Slowdown.Remaining(now)+work {
		return false
	}
	run.started, run.slow, run.floor = now, l.Slowdown.Slow(now), l.Slowdown.Baseline()
	return true
}

// lateSlotFree reports whether a request beyond its objective may take a slot.
func (l *Limiter) lateSlotFree(now time.Time) bool {
	share := lateShare
	if now.Sub(l.saturatedAt) < saturationTime {
		share = saturatedLateShare
	}
	return float64(l.running) < share*float64(l.Limit.Current())
}

// Load returns the load figures that are sent with answers and refusals.
func (l *Limiter) Load(now time.Time) Load {
	load := Load{
		Running: l.running, Waiting: len(l.queue), Limit: l.Limit.Current(), Slots: l.Limit.Slots(),
		Slowdown: l.Slowdown.Factor(now), Wait: l.Estimate(1 << 30),
	}
	if l.Slowdown.Slow(now) {
		load.SlowFor = l.Slowdown.Period()
	}
	return load
}
