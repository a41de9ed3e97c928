package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillasail/vanillasail/pkg/retry"
	"github.com/vanillasail/vanillasail/pkg/routing"
)

const (
	// deadline is the time after which an entry node gives up a request. It is the
	// recorded latency of requests without an answer.
	deadline = 2 * time.Second
	// disconnectTime is the time after which a node closes a connection to a peer that
	// does not react: 500 ms without a packet and 1 s for the ping (section 14 of
	// docs/design.md).
	disconnectTime = 1500 * time.Millisecond
)

// request is the request of a caller at its entry node.
type request struct {
	emulator   *emulator
	id         uint64
	entry      int
	arrived    time.Duration
	work       time.Duration
	idempotent bool
	done       bool
	// inFlight holds the attempts whose result the entry node has not received.
	inFlight []*attempt
	// tried holds the servers of all attempts, because none is used twice.
	tried []int
	// attempts decides on further attempts.
	attempts retry.Attempts
}

// attempt is one attempt to run a request at one server.
type attempt struct {
	r          *request
	s          *server
	sent       time.Duration
	work       time.Duration // remaining run time at normal speed since resumed
	delay      time.Duration
	hedge      bool
	closed     bool  // the attempt has ended at the entry node
	resultSent bool  // the receiving node has sent the result
	fromServer bool  // the result is an answer of the server, not of a node
	forwarded  uint8 // retries sent with the request
	generation int   // incremented to invalidate the scheduled completion

	started, resumed time.Duration
}

// lognormal returns a run time for a standard normal value.
func lognormal(z float64) time.Duration {
	return time.Duration(float64(meanRunTime) * math.Exp(runTimeSigma*z-runTimeSigma*runTimeSigma/2))
}

// send places the request and reports whether a server was found.
func (r *request) send(hedge bool) bool {
	e := r.emulator
	i := e.policy.pick(r)
	if i < 0 {
		return false
	}
	a := &attempt{r: r, s: e.servers[i], sent: e.now, hedge: hedge, work: r.work}
	forwarded, ok := r.attempts.Send(a.s.ID)
	if !ok {
		panic("sent without permission")
	}
	a.forwarded = forwarded.Retries
	if len(r.tried) > 0 {
		// The run time of another attempt is independent of that of the first. It
		// depends only on the request and the attempt, so it is the same for every
		// policy.
		rng := rand.New(rand.NewPCG(e.options.Seed^r.id, uint64(len(r.tried))))
		a.work = lognormal(rng.NormFloat64())
	}
	a.delay = e.deployment.delay(e.servers[r.entry].Server, a.s.Server)
	r.inFlight = append(r.inFlight, a)
	r.tried = append(r.tried, i)
	e.attempts++
	if e.partitioned(r.entry, i) || a.s.mode == silent {
		e.after(disconnectTime, func() { a.close(routing.Lost) })
		return true
	}
	a.s.inTransit++
	e.after(a.delay, a.arrive)
	return true
}

func (a *attempt) arrive() {
	a.s.inTransit--
	if a.closed || a.r.emulator.partitioned(a.r.entry, a.s.index) {
		a.detectLoss()
		return
	}
	a.s.accept(a)
	if a.s.mode == silent {
		a.detectLoss()
	}
}

// detectLoss ends the attempt after the time in which the entry node detects that no
// answer will arrive.
func (a *attempt) detectLoss() {
	if !a.closed {
		a.r.emulator.after(disconnectTime, func() { a.close(routing.Lost) })
	}
}

// sendResult sends the result from the receiving node to the entry node.
func (a *attempt) sendResult(o routing.Outcome) {
	if a.resultSent {
		return
	}
	a.resultSent = true
	a.fromServer = o == routing.Answered || a.s.mode == failing
	e := a.r.emulator
	if e.partitioned(a.r.entry, a.s.index) {
		a.detectLoss()
		return
	}
	load := a.s.load()
	load.Refusing = o == routing.Refused
	load.Age = a.delay
	carriesLoad := o != routing.Failed && e.meter.allowLoad(e, a.s.index, a.r.entry)
	e.after(a.delay, func() {
		if carriesLoad {
			e.policy.onLoad(a.r.entry, a.s.index, load)
		}
		a.close(o)
	})
}

// close ends the attempt at the entry node.
func (a *attempt) close(o routing.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	r, e := a.r, a.r.emulator
	e.policy.done(r.entry, a.s.index, o, e.now-a.sent)
	r.remove(a)
	if o == routing.Canceled {
		e.wasted++
		e.after(a.delay, func() {
			if !a.resultSent {
				a.resultSent = true
				a.s.release(a, false)
			}
		})
		return
	}
	if o != routing.Answered || r.done {
		e.wasted++
	}
	r.onAttemptEnd(a, o)
}

func (r *request) remove(a *attempt) {
	for i, x := range r.inFlight {
		if x == a {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}

// causes maps outcomes to the causes of pkg/retry. Crashes and failing servers both
// have the outcome Failed.
var causes = map[routing.Outcome]retry.Cause{
	routing.Refused: retry.Overloaded,
	routing.Failed:  retry.Failed,
	routing.Lost:    retry.Lost,
}

// onAttemptEnd finishes the request or starts another attempt.
func (r *request) onAttemptEnd(a *attempt, o routing.Outcome) {
	if a.fromServer {
		r.attempts.Answer(a.s.ID, a.forwarded)
	}
	switch {
	case r.done:
		return
	case o == routing.Answered:
		r.finish(o)
		return
	case r.attempts.Retry(&r.emulator.retryLimits[r.entry].retries, r.idempotent, causes[o], r.emulator.time()) && r.send(false):
		return
	}
	if len(r.inFlight) == 0 {
		r.finish(o)
	}
}

// finish answers the caller and cancels the attempts that are still in flight.
func (r *request) finish(o routing.Outcome) {
	r.done = true
	for len(r.inFlight) > 0 {
		r.inFlight[0].close(routing.Canceled)
	}
	r.emulator.record(r, o)
}

// expire ends the request at its deadline. Attempts in flight count as lost.
func (r *request) expire() {
	if r.done {
		return
	}
	r.done = true
	for len(r.inFlight) > 0 {
		a := r.inFlight[0]
		a.close(routing.Lost)
		a.r.emulator.after(a.delay, func() { a.s.release(a, false) })
	}
	r.emulator.record(r, routing.Lost)
}
