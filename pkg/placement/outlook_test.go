package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replay emulates a node beside each server that sends eleven requests a second. Each
// server is slow for a quarter of the time. One that is ill fails half of its requests,
// and then hands back all but a few.
type replay struct {
	servers int
	ill     func(server int, at time.Duration) bool
	// ignorant is set to take servers without fresh figures for idle ones.
	ignorant bool

	random   *rand.Rand
	failures []float64
	trials   []time.Duration
	views    [][]Server
	// handBacks, far and failed count hand-backs, sends to other regions and failures
	// per request.
	handBacks, far, failed float64
}

func (p *replay) run() {
	p.random = rand.New(rand.NewPCG(1, 2))
	p.failures, p.trials = make([]float64, p.servers), make([]time.Duration, p.servers)
	for node := range p.servers {
		view := make([]Server, p.servers)
		for s := range view {
			view[s] = Server{ID: strconv.Itoa(s), Limit: 8, Distance: OtherRegion}
			switch {
			case s == node:
				view[s].Distance = SameHost
			case s%9 == node%9:
				view[s].Distance = SameDomain
			case s%3 == node%3:
				view[s].Distance = SameRegion
			}
		}
		p.views = append(p.views, view)
	}
	interval, requests := 90*time.Millisecond/time.Duration(p.servers), 0.0
	for at := time.Duration(0); at < 6*time.Second; at += interval {
		if at < time.Second {
			p.handBacks, p.far, p.failed, requests = 0, 0, 0, 0
		}
		p.place(p.views[p.random.IntN(p.servers)], at)
		requests++
	}
	p.handBacks, p.far, p.failed = p.handBacks/requests, p.far/requests, p.failed/requests
}

func (p *replay) place(view []Server, at time.Duration) {
	var search Search
	for taken := false; !taken; {
		choice, last := p.next(&search, view, time.Unix(1000, 0).Add(at))
		s, _ := strconv.Atoi(choice.Server.ID)
		if choice.Server.Distance == OtherRegion {
			p.far++
		}
		taken = last || !slowAt(s, at) && p.admits(s, at)
		if !taken {
			p.handBacks++
			search.HandedBack(choice.Server.ID)
		} else {
			failure := 0.0
			if p.ill(s, at) && p.random.IntN(2) == 0 {
				failure = 1
			}
			p.failed += failure
			p.failures[s] += (failure - p.failures[s]) / 16
		}
		at += DefaultCosts.RoundTrip[choice.Server.Distance]
		v := &view[s]
		v.Seen, v.Slowdown, v.SlowFor, v.Unhealthy = time.Unix(1000, 0).Add(at), 1, 0, p.failures[s] >= 0.25
		if slowAt(s, at) {
			v.Slowdown, v.SlowFor = 5, 150*time.Millisecond
		}
	}
}

func (p *replay) next(search *Search, view []Server, now time.Time) (choice Choice, last bool) {
	r := Request{Bytes: 2 << 10, Work: 50 * time.Millisecond, Random: p.random.Int64N}
	if !p.ignorant {
		choice, last, _ = search.Next(&DefaultCosts, view, r, now)
		return choice, last
	}
	r.Tried = search.handedBack
	choice, _ = DefaultCosts.pick(view, outlook{}, r, now)
	return choice, choice.Tried || choice.Untried == 0 || len(r.Tried) >= maxHandBacks || choice.Server.failing(now)
}

// admits takes all requests of a healthy server and ten a second of an unhealthy one.
func (p *replay) admits(s int, at time.Duration) bool {
	if p.failures[s] < 0.25 {
		return true
	}
	due := at-p.trials[s] >= 100*time.Millisecond
	if due {
		p.trials[s] = at
	}
	return due
}

func slowAt(s int, at time.Duration) bool {
	period := (at + time.Duration(s)*37*time.Millisecond) / (150 * time.Millisecond)
	return rand.NewPCG(uint64(s), uint64(period)).Uint64()%4 == 0
}

// Guards against requests that are handed back by servers of all regions when all fail, and
// against healthy servers that are not found among failing ones.
func TestUnknownServersAreTakenForIdleWhileMostFail(t *testing.T) {
	for name, c := range map[string]struct {
		servers int
		ill     func(server int, at time.Duration) bool
		// handBacks and far are bounds per request, saved is the least number of
		// hand-backs that the outlook saves.
		handBacks, far, saved float64
	}{
		"slow periods only":       {78, func(int, time.Duration) bool { return false }, 0.4, 0, 0},
		"all fail":                {78, func(int, time.Duration) bool { return true }, 0.3, 0.2, 2},
		"all of 24 fail":          {24, func(int, time.Duration) bool { return true }, 0.3, 0.2, 0.8},
		"all of 3 fail":           {3, func(int, time.Duration) bool { return true }, 0.3, 0.7, -0.05},
		"all fail and recover":    {78, func(_ int, at time.Duration) bool { return at < 4*time.Second }, 0.5, 0.2, 0.3},
		"one in ten fails":        {78, func(s int, _ time.Duration) bool { return s%10 == 0 }, 0.5, 0, -0.05},
		"half fail":               {78, func(s int, _ time.Duration) bool { return s%2 == 0 }, 0.5, 0.02, -0.05},
		"one in ten is well":      {78, func(s int, _ time.Duration) bool { return s%10 != 0 }, 0.7, 0.2, 0.1},
		"a failure domain fails":  {78, func(s int, _ time.Duration) bool { return s%9 == 0 }, 0.5, 0, -0.05},
		"a region fails":          {78, func(s int, _ time.Duration) bool { return s%3 == 0 }, 0.7, 0.4, 0.1},
		"all but one region fail": {78, func(s int, _ time.Duration) bool { return s%3 != 0 }, 0.8, 0.9, 0.4},
	} {
		t.Run(name, func(t *testing.T) {
			with := replay{servers: c.servers, ill: c.ill}
			with.run()
			without := replay{servers: c.servers, ill: c.ill, ignorant: true}
			without.run()
			t.Logf("hand-backs %.2f, without the outlook %.2f; to other regions %.2f and %.2f; failed %.3f and %.3f",
				with.handBacks, without.handBacks, with.far, without.far, with.failed, without.failed)
			assert.Assert(t, with.handBacks <= c.handBacks && with.far <= c.far)
			assert.Assert(t, without.handBacks-with.handBacks >= c.saved)
			assert.Assert(t, with.failed <= without.failed+0.02)
		})
	}
}
