package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// job is one simulated request.
type job struct {
	Entry
	arrived, started, end, deadline time.Time
	light                           bool
}

// load is an open-loop simulation of one server with exponential arrivals and
// service times, in which one tenant sends nine of ten requests.
type load struct {
	policy
	q       Queue
	rng     *rand.Rand
	running []*job
	done    []*job
	light   int // arrivals of the light tenants
}

type policy struct {
	fair  bool // tenants have separate flows
	early bool // the queue knows the deadlines
}

const (
	service  = 10 * time.Millisecond
	timeout  = 40 * time.Millisecond
	arrivals = 50_000
)

func (l *load) exp(mean time.Duration) time.Duration {
	return time.Duration(l.rng.ExpFloat64() * float64(mean))
}

func (l *load) start(next []Entry, now time.Time) {
	for _, e := range next {
		j := e.Waiter.(*job)
		j.Entry, j.started, j.end = e, now, now.Add(l.exp(service))
		l.running = append(l.running, j)
	}
}

// finish ends the jobs that end before now, in order.
func (l *load) finish(now time.Time) {
	for len(l.running) > 0 {
		first := slices.MinFunc(l.running, func(a, b *job) int { return a.end.Compare(b.end) })
		if first.end.After(now) {
			return
		}
		l.running = slices.DeleteFunc(l.running, func(j *job) bool { return j == first })
		l.done = append(l.done, first)
		l.start(l.q.Leave(first.Entry, first.end, nil), first.end)
	}
}

func (l *load) arrive(now time.Time) {
	j := &job{arrived: now, deadline: now.Add(timeout), light: l.rng.IntN(10) == 0}
	t := Request{Waiter: j}
	if j.light {
		l.light++
	}
	if l.fair && j.light {
		t.Tenant = fmt.Sprint(l.rng.IntN(63))
	}
	if l.early {
		t.Deadline = j.deadline
	}
	if e, d := l.q.Enter(t, now); d.Verdict == Start {
		l.start([]Entry{e}, now)
	}
}

func (l *load) report(b *testing.B) {
	var waits []time.Duration
	inTime := 0
	for _, j := range l.done {
		if !j.end.After(j.deadline) {
			inTime++
		}
		if j.light {
			waits = append(waits, j.started.Sub(j.arrived))
		}
	}
	slices.Sort(waits)
	b.ReportMetric(float64(waits[len(waits)*99/100])/1e6, "quiet-p99-wait-ms")
	b.ReportMetric(100*float64(l.light-len(waits))/float64(l.light), "quiet-not-run-%")
	b.ReportMetric(100*float64(inTime)/float64(len(l.done)), "ran-in-time-%")
	b.ReportMetric(100*float64(inTime)/arrivals, "answered-in-time-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkOverload reports the effect of fairness and early refusal on the tenants
// with few requests, and on the useful work of the server.
func BenchmarkOverload(b *testing.B) {
	for _, percent := range []int{85, 120, 200} {
		for name, p := range map[string]policy{
			"plain": {}, "fair": {fair: true}, "early": {early: true}, "fair,early": {true, true},
		} {
			b.Run(fmt.Sprintf("load=%d/%s", percent, name), func(b *testing.B) {
				var l *load
				for b.Loop() {
					l = &load{policy: p, rng: rand.New(rand.NewPCG(1, 2))}
					for now, n := start, 0; n < arrivals; n++ {
						now = now.Add(l.exp(service * 100 / DefaultSlots / time.Duration(percent)))
						l.finish(now)
						l.arrive(now)
					}
				}
				l.report(b)
			})
		}
	}
}
