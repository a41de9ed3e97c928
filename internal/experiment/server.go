package experiment

import (
	"slices"
	"time"

	"github.com/vanillasail/vanillasail/pkg/routing"
)

// mode is how a fake server handles requests.
type mode uint8

const (
	up mode = iota
	// crashed refuses connections.
	crashed
	// silent never answers, as when its failure domain is lost.
	silent
	// failing answers every request with an error after failTime.
	failing
)

const (
	failTime = time.Millisecond
	// queueLimit bounds the queue, in multiples of the slots, at half a second of
	// work. The node beside the server refuses requests beyond it.
	queueLimit = 50
)

// server is a fake backend server with the node beside it: slots, a FIFO queue and a
// slowdown that the case changes.
type server struct {
	routing.Server
	clock        *clock
	index        int
	mode         mode
	slowdown     float64 // factor of the run times
	reportsIdle  bool    // load figures describe an idle, fast server
	inTransit    int     // attempts on the way to the server
	running      []*attempt
	queue        []*attempt
	runTimeMeter routing.RunTimeMeter
}

// accept starts, queues, fails or refuses an attempt, depending on the mode and the
// load.
func (s *server) accept(a *attempt) {
	switch {
	case s.mode == silent:
	case s.mode == crashed:
		a.sendResult(routing.Failed)
	case s.mode == failing:
		s.clock.after(failTime, func() { a.sendResult(routing.Failed) })
	case len(s.running) < s.Slots:
		s.start(a)
	case len(s.queue) >= queueLimit*s.Slots:
		a.sendResult(routing.Refused)
	default:
		s.queue = append(s.queue, a)
	}
}

func (s *server) start(a *attempt) {
	a.started, a.resumed = s.clock.now, s.clock.now
	s.runTimeMeter.Start(s.clock.time())
	s.running = append(s.running, a)
	s.schedule(a)
}

func (s *server) schedule(a *attempt) {
	a.generation++
	generation := a.generation
	s.clock.after(time.Duration(float64(a.work)*s.slowdown), func() {
		if a.generation == generation {
			s.finish(a)
		}
	})
}

func (s *server) finish(a *attempt) {
	s.release(a, true)
	a.sendResult(routing.Answered)
}

// release removes an attempt from its slot or from the queue, and starts the next
// queued attempt if a slot becomes free.
func (s *server) release(a *attempt, completed bool) {
	a.generation++
	if i := slices.Index(s.queue, a); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return
	}
	i := slices.Index(s.running, a)
	if i < 0 {
		return
	}
	s.running = slices.Delete(s.running, i, i+1)
	s.runTimeMeter.End(s.clock.now-a.started, completed, s.clock.time())
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.start(next)
	}
}

// setSlowdown changes the slowdown. It also changes the speed of running requests.
func (s *server) setSlowdown(factor float64) {
	for _, a := range s.running {
		done := float64(s.clock.now-a.resumed) / s.slowdown
		a.work = max(a.work-time.Duration(done), 0)
		a.resumed = s.clock.now
	}
	s.slowdown = factor
	for _, a := range s.running {
		s.schedule(a)
	}
}

// setMode changes the mode. Requests that run or are queued fail when the server
// crashes and are lost when it becomes silent.
func (s *server) setMode(m mode) {
	s.mode = m
	if m == up || m == failing {
		return
	}
	unfinished := append(s.running, s.queue...)
	s.running, s.queue, s.runTimeMeter = nil, nil, routing.RunTimeMeter{}
	for _, a := range unfinished {
		a.generation++
		if m == crashed {
			a.sendResult(routing.Failed)
		} else {
			a.detectLoss()
		}
	}
}

func (s *server) load() routing.Load {
	if s.reportsIdle {
		return routing.Load{Slots: s.Slots, Latency: time.Millisecond}
	}
	return routing.Load{InFlight: len(s.running), Queued: len(s.queue), Slots: s.Slots, Latency: s.runTimeMeter.Latency(s.clock.time())}
}
