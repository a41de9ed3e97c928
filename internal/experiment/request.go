package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	// deadline is the time after which an entry gives a request up; requests
	// without an answer count with it in the latencies.
	deadline = 2 * time.Second
	// silence is the time in which a node finds that a connection is dead:
	// 500 ms without a packet and 1 s for the ping (section 14).
	silence = 1500 * time.Millisecond
)

// request is one request of a caller at its entry.
type request struct {
	w          *world
	id         uint64
	entry      int
	arrived    time.Duration
	work       time.Duration
	idempotent bool
	done       bool
	// open holds the attempts whose end the entry does not know yet.
	open []*attempt
	// tried holds the servers of all attempts; none is used twice.
	tried []int
	// attempts has the rules for further ones.
	attempts retry.Attempts
}

// attempt is one try of a request at one server.
type attempt struct {
	r      *request
	s      *server
	sent   time.Duration
	work   time.Duration // left at normal speed as of resumed
	delay  time.Duration
	hedge  bool
	closed bool  // the entry knows the end
	ended  bool  // the far node sent the end
	whole  bool  // the end is an answer of the server, not an error of the system
	lent   uint8 // retries sent along
	gen    int   // the current completion event

	started, resumed time.Duration
}

// lognormal returns a run time for a standard normal value.
func lognormal(z float64) time.Duration {
	return time.Duration(float64(meanService) * math.Exp(sigma*z-sigma*sigma/2))
}

// send places the request. It reports whether a server was found.
func (r *request) send(hedge bool) bool {
	w := r.w
	i := w.policy.pick(r)
	if i < 0 {
		return false
	}
	a := &attempt{r: r, s: w.servers[i], sent: w.now, hedge: hedge, work: r.work}
	lent, ok := r.attempts.Send(a.s.ID)
	if !ok {
		panic("sent without permission")
	}
	a.lent = lent.Retries
	if len(r.tried) > 0 {
		// Another server's run time is independent of the first one's; it
		// depends only on request and try, not on the policy.
		rng := rand.New(rand.NewPCG(w.opt.Seed^r.id, uint64(len(r.tried))))
		a.work = lognormal(rng.NormFloat64())
	}
	a.delay = w.dep.delay(w.servers[r.entry].Server, a.s.Server)
	r.open = append(r.open, a)
	r.tried = append(r.tried, i)
	w.attempts++
	if w.cut(r.entry, i) || a.s.mode == silent {
		w.after(silence, func() { a.close(routing.Lost) })
		return true
	}
	a.s.transit++
	w.after(a.delay, a.arrive)
	return true
}

func (a *attempt) arrive() {
	a.s.transit--
	if a.closed || a.r.w.cut(a.r.entry, a.s.index) {
		a.lose()
		return
	}
	a.s.accept(a)
	if a.s.mode == silent {
		a.lose()
	}
}

// lose lets the entry find out that no answer comes.
func (a *attempt) lose() {
	if !a.closed {
		a.r.w.after(silence, func() { a.close(routing.Lost) })
	}
}

// end sends the result from the far node to the entry.
func (a *attempt) end(o routing.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.whole = o == routing.Answered || a.s.mode == failing
	w := a.r.w
	if w.cut(a.r.entry, a.s.index) {
		a.lose()
		return
	}
	load := a.s.load()
	load.Refusing = o == routing.Refused
	load.Age = a.delay
	carried := o != routing.Failed && w.meter.answer(w, a.s.index, a.r.entry)
	w.after(a.delay, func() {
		if carried {
			w.policy.loaded(a.r.entry, a.s.index, load)
		}
		a.close(o)
	})
}

// close ends the attempt at the entry.
func (a *attempt) close(o routing.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	r, w := a.r, a.r.w
	w.policy.done(r.entry, a.s.index, o, w.now-a.sent)
	r.remove(a)
	if o == routing.Canceled {
		w.wasted++
		w.after(a.delay, func() {
			if !a.ended {
				a.ended = true
				a.s.drop(a, false)
			}
		})
		return
	}
	if o != routing.Answered || r.done {
		w.wasted++
	}
	r.ended(a, o)
}

func (r *request) remove(a *attempt) {
	for i, x := range r.open {
		if x == a {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// causes are those of pkg/retry; crashes and failing servers give Failed.
var causes = map[routing.Outcome]retry.Cause{
	routing.Refused: retry.Overloaded,
	routing.Failed:  retry.Failed,
	routing.Lost:    retry.Lost,
}

// ended decides what follows the end of an attempt.
func (r *request) ended(a *attempt, o routing.Outcome) {
	if a.whole {
		r.attempts.Answer(a.s.ID, a.lent)
	}
	switch {
	case r.done:
		return
	case o == routing.Answered:
		r.finish(o)
		return
	case r.attempts.Retry(&r.w.limits[r.entry].retries, r.idempotent, causes[o], r.w.time()) && r.send(false):
		return
	}
	if len(r.open) == 0 {
		r.finish(o)
	}
}

// finish answers the caller and cancels what is left.
func (r *request) finish(o routing.Outcome) {
	r.done = true
	for len(r.open) > 0 {
		r.open[0].close(routing.Canceled)
	}
	r.w.record(r, o)
}

// expire gives up at the deadline; the attempts count as lost.
func (r *request) expire() {
	if r.done {
		return
	}
	r.done = true
	for len(r.open) > 0 {
		a := r.open[0]
		a.close(routing.Lost)
		a.r.w.after(a.delay, func() { a.s.drop(a, false) })
	}
	r.w.record(r, routing.Lost)
}
