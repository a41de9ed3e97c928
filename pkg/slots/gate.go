package slots

import (
	"time"
)

// Limiter has the last word on each request for one backend server: it alone
// counts the server's running requests exactly and knows its pace to within
// milliseconds.
//
// Load pattern: neighbours slow a server down by a factor of five for spells of
// 150 ms, and work that begins in a spell keeps its pace to the end. What the
// callers' nodes know is older than a spell, so the gate hands a request back in a
// slow spell or when full, and the sender goes elsewhere for the price of one round
// trip. The last server that a sender may ask keeps the request in line if its
// objective can still be met, or if only the spell is in its way: a run that begins
// in a spell takes five times as long and keeps its slot from four others. What has
// to wait for a slot and would be late is turned away at once. A request does not
// begin on a figure older than a few milliseconds: it asks the server first, which
// costs less than one request in fifteen that is late.
//
// The zero value has no slots and hands everything back. Limiter is not safe for
// concurrent use.
type Limiter struct {
	Slowdown  Slowdown
	Limit Limit
	// Health is that of the answers.
	Health Health
	// usual holds the mean duration of runs by kind, at the usual pace.
	usual   map[string]*mean
	all     mean
	running int
	line    []*Run
	// pressed is when a request that could be on time last found no slot.
	pressed time.Time
	// closed is set while the server takes no new work.
	closed bool
}

// Request is a request that wants to run.
type Request struct {
	// Kind groups requests of similar duration.
	Kind string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is when the answer loses most of its worth, Deadline when it is
	// worth nothing.
	Objective, Deadline time.Time
	// Last is set when the sender will ask no other server.
	Last bool
	// Probed is set when the server has just been asked for its pace.
	Probed bool
	// Wake is called when a request that waited may run (true) or is turned away.
	Wake func(run bool)
}

// Verdict is what happens to a request.
type Verdict uint8

const (
	// Start means that the request runs now.
	Start Verdict = iota
	// Wait means that the request waits in line until Wake.
	Wait
	// HandBack means that another server is the better choice.
	HandBack
	// Refuse means that the request cannot be served in time.
	Refuse
	// Probe means that the pace is not known well enough. The caller asks the server
	// and enters again.
	Probe
)

// String returns the verdict as it stands in logs.
func (v Verdict) String() string {
	return [...]string{"start", "wait", "hand-back", "turn-away", "look"}[v]
}

// Run is a request that was admitted or waits.
type Run struct {
	Request
	entered time.Time
	started time.Time
	// slow is set when the run began in a slow spell, and floor is the pace without
	// spells at that time.
	slow  bool
	floor float64
	// level is the number of requests that ran when this one began, itself included.
	level   int
	waiting bool
	// late is set for a run in line that is beyond its objective and waits for the
	// end of a spell, until a time.
	late  bool
	until time.Time
	// held is when a run that has its slot was first kept from beginning.
	held time.Time
}

// Until returns when the line has to be looked at again for a run that waits.
func (r *Run) Until() time.Time { return r.until }

// Load is what other nodes are told of the server.
type Load struct {
	Running, Waiting, Limit, Slots int
	Slowdown                           float64
	// Wait is how long a request would wait for a slot.
	Wait time.Duration
}

type mean struct {
	value   float64
	samples float64
}

const (
	// meanMemory is how many runs weigh in a mean duration.
	meanMemory = 50
	// defaultWork stands for the duration of work while nothing has run yet.
	defaultWork = 50 * time.Millisecond
	// lineFactor bounds the line in multiples of the limit: more could not start
	// before the objective of a request that takes a third of it.
	lineFactor = 3
	// lateShare is the share of slots that work beyond its objective may use, and
	// pressedShare the same while work that can still be on time is turned away, which
	// is worth ten times as much.
	lateShare    = 0.75
	pressedShare = 0.25
	// pressedTime is how long the server counts as pressed after it had no slot.
	pressedTime = 300 * time.Millisecond
)

func (m *mean) add(v float64) {
	m.samples = min(m.samples+1, meanMemory)
	m.value += (v - m.value) / m.samples
}

// SetClosed stops or resumes taking new work.
func (g *Limiter) SetClosed(closed bool) { g.closed = closed }

// Closed reports whether the server takes no new work.
func (g *Limiter) Closed() bool { return g.closed }

// Restarted forgets what was seen of the server's pace and answers, because a new
// process serves. What its host can do at a time stays.
func (g *Limiter) Restarted() { g.Slowdown, g.Health = Slowdown{}, Health{} }

// Running returns the number of requests at the server.
func (g *Limiter) Running() int { return g.running }

// Waiting returns the number of requests in line.
func (g *Limiter) Waiting() int { return len(g.line) }

// UsualDuration returns the usual duration of a kind of request, at the pace without
// spells.
func (g *Limiter) UsualDuration(kind string) time.Duration {
	if m := g.usual[kind]; m != nil && m.samples >= 3 {
		return time.Duration(m.value * g.Slowdown.Baseline())
	}
	return g.typical()
}

func (g *Limiter) typical() time.Duration {
	if g.all.samples >= 3 {
		return time.Duration(g.all.value * g.Slowdown.Baseline())
	}
	return defaultWork
}

// Enter decides on a request. The run is nil unless the verdict is Start or Wait.
func (g *Limiter) Enter(ask Request, now time.Time) (*Run, Verdict) {
	if g.closed || g.Limit.Current() == 0 {
		return nil, HandBack
	}
	run := &Run{Request: ask, entered: now}
	work := g.UsualDuration(ask.Kind)
	late := !ask.Objective.IsZero() && now.Add(work).After(ask.Objective)
	free := g.running < g.Limit.Current() && !g.hasWaiting(ask.Priority)
	if late && ask.Last && !g.lateRoom(now) {
		free = false
	}
	if !late && g.running >= g.Limit.Current() {
		g.pressed = now
	}
	if free && !ask.Probed && g.Slowdown.Stale(now) {
		return nil, Probe
	}
	switch {
	case free && g.begins(ask, work, now):
		g.start(run, now)
		return run, Start
	case !ask.Last:
		return nil, HandBack
	case late || now.Add(g.Estimate(ask.Priority)+work).After(ask.Objective):
		if !g.waitOut(run, work, now) {
			return nil, Refuse
		}
	case len(g.line) >= lineFactor*g.Limit.Current() && !g.evict(ask.Priority):
		return nil, Refuse
	default:
		run.until = ask.Objective.Add(-work)
	}
	run.waiting = true
	g.insert(run)
	return run, Wait
}

// waitOut lets a run that will be late wait for the end of the spell, and reports
// whether it has to.
func (g *Limiter) waitOut(run *Run, work time.Duration, now time.Time) bool {
	if !g.Slowdown.Slow(now) || !g.lateRoom(now) || now.Add(spellTime+work).After(run.Deadline) {
		return false
	}
	run.late, run.until = true, now.Add(spellTime)
	return true
}

// begins reports whether a request with a free slot should begin at this pace.
func (g *Limiter) begins(ask Request, work time.Duration, now time.Time) bool {
	switch {
	case !ask.Last:
		return !g.Slowdown.Slow(now) && g.Health.Admit(now)
	case !g.Slowdown.Slow(now):
		return true
	}
	// A slow run takes its slot for several others. It begins where slots are idle
	// and it still ends in time, or where it ends sooner than after the spell.
	slowed := g.slowed(work, now)
	idle := 2*g.running < g.Limit.Current()
	return idle && !now.Add(slowed).After(ask.Objective) || slowed <= spellTime+work
}

// slowed returns how long work takes that begins at the present pace.
func (g *Limiter) slowed(work time.Duration, now time.Time) time.Duration {
	return time.Duration(float64(work) * g.Slowdown.Factor(now) / g.Slowdown.Baseline())
}

// Estimate returns how long a request of a priority would wait for a slot.
func (g *Limiter) Estimate(priority int) time.Duration {
	limit := g.Limit.Current()
	if limit == 0 {
		return time.Second
	}
	ahead := 0
	for _, r := range g.line {
		if r.Priority <= priority {
			ahead++
		}
	}
	over := g.running - limit + 1 + ahead
	if over <= 0 {
		return 0
	}
	each := float64(g.typical()) / float64(limit)
	return time.Duration(float64(over) * each)
}

func (g *Limiter) start(run *Run, now time.Time) {
	g.running++
	run.waiting = false
	run.started, run.slow, run.floor, run.level = now, g.Slowdown.Slow(now), g.Slowdown.Baseline(), g.running
}

// Leave ends a run or a wait. Worked tells whether the duration says something
// about the server.
func (g *Limiter) Leave(run *Run, worked bool, now time.Time) {
	if run.waiting {
		g.remove(run)
		return
	}
	if run.started.IsZero() {
		return
	}
	if worked {
		g.learn(run, now)
	}
	g.running--
	g.Tick(now)
}

func (g *Limiter) learn(run *Run, now time.Time) {
	if run.slow {
		return // it tells of the neighbours, not of the server
	}
	took := float64(now.Sub(run.started)) / run.floor
	if g.usual == nil {
		g.usual = make(map[string]*mean)
	}
	m := g.usual[run.Kind]
	if m == nil {
		m = &mean{}
		g.usual[run.Kind] = m
	}
	if m.samples >= 3 {
		g.Limit.Observe(run.level, took/m.value)
	}
	// What is usual is learned where the server is not crowded, or a slowdown at
	// high concurrency would become the measure of itself.
	if m.samples < 3 || 2*run.level <= g.Limit.Slots()+2 || run.level <= g.Limit.Slots()*2/3 {
		m.add(took)
	}
	g.all.add(took)
}

// Tick starts requests that wait and turns away those that can no longer be on
// time.
func (g *Limiter) Tick(now time.Time) {
	line := g.line
	g.line = nil
	var away []*Run
	for _, r := range line {
		if g.stays(r, now) {
			g.insert(r)
		} else {
			r.waiting = false
			away = append(away, r)
		}
	}
	for len(g.line) > 0 && g.hasRoom(g.line[0], now) {
		next := g.line[0]
		g.line = g.line[1:]
		g.start(next, now)
		next.Wake(true)
	}
	for _, r := range away {
		started := !g.closed && !g.Slowdown.Slow(now) && g.lateRoom(now)
		if started {
			g.start(r, now)
		}
		r.Wake(started)
	}
}

// stays reports whether a run should go on waiting.
func (g *Limiter) stays(r *Run, now time.Time) bool {
	work := g.UsualDuration(r.Kind)
	switch {
	case g.closed:
		return false
	case r.late:
		return now.Before(r.until) && !now.Add(work).After(r.Deadline)
	case now.Add(work).After(r.Objective):
		return g.waitOut(r, work, now)
	default:
		return true
	}
}

// hasRoom reports whether a run that waits may begin.
func (g *Limiter) hasRoom(r *Run, now time.Time) bool {
	if g.Slowdown.Slow(now) {
		return false
	}
	return g.running < g.Limit.Current() && (!r.late || g.lateRoom(now))
}

// Begin reports whether the work of a run that has its slot already should begin
// now, and notes the pace if so. Otherwise it is asked again after a while.
func (g *Limiter) Begin(run *Run, now time.Time) bool {
	if run.held.IsZero() {
		run.held = now
	}
	work := g.UsualDuration(run.Kind)
	if g.Slowdown.Slow(now) && now.Before(run.held.Add(spellTime)) && g.slowed(work, now) > spellTime+work {
		return false
	}
	run.started, run.slow, run.floor = now, g.Slowdown.Slow(now), g.Slowdown.Baseline()
	return true
}

// lateRoom reports whether work beyond its objective may have a slot.
func (g *Limiter) lateRoom(now time.Time) bool {
	share := lateShare
	if now.Sub(g.pressed) < pressedTime {
		share = pressedShare
	}
	return float64(g.running) < share*float64(g.Limit.Current())
}

// Load returns the figures that ride on answers and refusals.
func (g *Limiter) Load(now time.Time) Load {
	return Load{
		Running: g.running, Waiting: len(g.line), Limit: g.Limit.Current(), Slots: g.Limit.Slots(),
		Slowdown: g.Slowdown.Factor(now), Wait: g.Estimate(1 << 30),
	}
}
