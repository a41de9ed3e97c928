package experiment

import (
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// mode is what a fake server does with a request.
type mode uint8

const (
	up mode = iota
	// crashed refuses connections.
	crashed
	// silent never answers, as when its failure domain is lost.
	silent
	// failing answers every request at once with an error.
	failing
)

const (
	failTime = time.Millisecond
	// queueLimit bounds the queue at half a second of work, in multiples of
	// the slots; beyond it the far node refuses.
	queueLimit = 50
)

// server is a fake backend server with its far node: slots, a FIFO queue and
// a speed that faults change.
type server struct {
	routing.Server
	clock   *clock
	index   int
	mode    mode
	slow    float64 // run times are multiplied by it
	lying   bool    // loads claim an idle, fast server
	transit int     // attempts on the way to the server
	running []*attempt
	queue   []*attempt
	pace    routing.RunTimeMeter
}

// accept takes an attempt in; it reports how it ends if it does not run.
func (s *server) accept(a *attempt) {
	switch {
	case s.mode == silent:
	case s.mode == crashed:
		a.end(routing.Failed)
	case s.mode == failing:
		s.clock.after(failTime, func() { a.end(routing.Failed) })
	case len(s.running) < s.Slots:
		s.start(a)
	case len(s.queue) >= queueLimit*s.Slots:
		a.end(routing.Refused)
	default:
		s.queue = append(s.queue, a)
	}
}

func (s *server) start(a *attempt) {
	a.started, a.resumed = s.clock.now, s.clock.now
	s.pace.Start(s.clock.time())
	s.running = append(s.running, a)
	s.schedule(a)
}

func (s *server) schedule(a *attempt) {
	a.gen++
	gen := a.gen
	s.clock.after(time.Duration(float64(a.work)*s.slow), func() {
		if a.gen == gen {
			s.finish(a)
		}
	})
}

func (s *server) finish(a *attempt) {
	s.drop(a, true)
	a.end(routing.Answered)
}

// drop takes an attempt out of its slot or the queue and fills the slot.
func (s *server) drop(a *attempt, completed bool) {
	a.gen++
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	i := slices.Index(s.running, a)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	s.pace.End(s.clock.now-a.started, completed, s.clock.time())
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// setSlow changes the speed; running requests continue at the new one.
func (s *server) setSlow(factor float64) {
	for _, a := range s.running {
		done := float64(s.clock.now-a.resumed) / s.slow
		a.work = max(a.work-time.Duration(done), 0)
		a.resumed = s.clock.now
	}
	s.slow = factor
	for _, a := range s.running {
		s.schedule(a)
	}
}

// setMode changes what the server does; requests it holds end with it unless
// the server continues to run them.
func (s *server) setMode(m mode) {
	s.mode = m
	if m == up || m == failing {
		return
	}
	held := append(s.running, s.queue...)
	s.running, s.queue, s.pace = nil, nil, routing.RunTimeMeter{}
	for _, a := range held {
		a.gen++
		if m == crashed {
			a.end(routing.Failed)
		} else {
			a.lose()
		}
	}
}

func (s *server) load() routing.Load {
	if s.lying {
		return routing.Load{Slots: s.Slots, Latency: time.Millisecond}
	}
	return routing.Load{InFlight: len(s.running), Queued: len(s.queue), Slots: s.Slots, Latency: s.pace.Latency(s.clock.time())}
}
