package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["calls"] = func(t *trial) (bool, error) { return calls(t, false) }
	cases["calls-derived"] = func(t *trial) (bool, error) { return calls(t, true) }
}

// The site geada-sul: its endpoints, its requests a second, and the budget of its retries.
const (
	stockHosts, dispatchHosts  = 10, 6
	lookupsPerS, uploadsPerS   = 208, 27.6
	retryRatio, retryExtra     = 0.2, 64
	retryWindow                = 10 * time.Second
	shedAfter, shedFor         = 12 * time.Second, 8500 * time.Millisecond
	shedShare                  = 0.55
	callShare                  = 0.7
	lookupDeadline, callBudget = 1200 * time.Millisecond, 250 * time.Millisecond
	slotDeadline               = 1500 * time.Millisecond
	slotBytes                  = 60_000
	callWork, slotWork         = 22 * time.Millisecond, 110 * time.Millisecond
)

// tally records what arrives at the servers of the service that is called.
type tally struct {
	mu sync.Mutex
	// arrivals counts the arrivals of each request, at any service.
	arrivals map[string]int
	// repeated holds the calls of runs that were repeats themselves.
	repeated map[string]bool
	// sent holds when clients sent requests on a route to the service, and repeats when
	// arrivals beyond the first of a request came.
	sent, repeats []time.Time
	first         int
	shedding      bool
}

// arrive records an arrival and reports whether the request has arrived before.
func (a *tally) arrive(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals[id]++
	return a.arrivals[id] > 1
}

// arriveAtCalled records an arrival at the called service and reports whether it is shed.
func (a *tally) arriveAtCalled(id string) (shed bool) {
	repeat := a.arrive(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if repeat || a.repeated[id] {
		a.repeats = append(a.repeats, time.Now())
	} else {
		a.first++
	}
	return a.shedding && rand.Float64() < shedShare
}

func (a *tally) setShedding(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shedding = on
}

// calls lets servers make calls to a service whose servers shed a part of all requests. Calls
// have IDs of their own or, if derived is set, that of the request that makes them with a
// suffix. The rule BUDGET holds if in no window more arrivals beyond the first of each request
// reach that service than its budget allows.
func calls(t *trial, derived bool) (bool, error) {
	t.configure(7, route("stock", "/stock/", "idempotent", "1200ms", "estoque"), route("release", "/release/", "idempotent", "1200ms", "expedicao"),
		route("slot", "/slot/", "upload", "1500ms", "expedicao"))
	t.tally = &tally{arrivals: make(map[string]int), repeated: make(map[string]bool)}
	t.derived = derived
	services := append(slices.Repeat([]string{"estoque"}, stockHosts), slices.Repeat([]string{"expedicao"}, dispatchHosts)...)
	if err := t.addHosts(services...); err != nil {
		return false, err
	}
	if err := t.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	answers := make(map[string]int)
	var mu sync.Mutex
	for i, h := range t.hosts {
		begin := func(kind, method, path string, bytes int, deadline time.Duration, perS float64) {
			clients.Go(func() {
				for j := 0; ctx.Err() == nil; j++ {
					time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(len(t.hosts)) * float64(time.Second)))
					id := fmt.Sprintf("%s%d-%d", kind[:1], i, j)
					clients.Go(func() {
						a := t.attempts(h, kind, method, path, id, bytes, deadline)
						mu.Lock()
						answers[kind+" "+a.kind()]++
						mu.Unlock()
					})
				}
			})
		}
		begin("lookup", "GET", "/stock/", 0, lookupDeadline, lookupsPerS)
		begin("upload", "POST", "/slot/", slotBytes, slotDeadline, uploadsPerS)
	}
	time.Sleep(shedAfter)
	if t.trouble {
		t.tally.setShedding(true)
		t.record("the servers of expedicao shed %.2f of all requests from now on", shedShare)
	}
	time.Sleep(shedFor)
	t.tally.setShedding(false)
	time.Sleep(2 * time.Second)
	cancel()
	clients.Wait()
	held := t.tally.check(t)
	t.record("answers: %v", answers)
	return held, nil
}

// attempts sends a request, and once more as the pages say, and returns the last answer.
func (t *trial) attempts(h *host, kind, method, path, id string, bytes int, deadline time.Duration) (a answer) {
	began := time.Now()
	for n := range 2 {
		attempt := fmt.Sprintf("%s-%d", id, n)
		left := deadline - time.Since(began)
		if left <= 0 {
			break
		}
		if kind == "upload" {
			t.tally.mu.Lock()
			t.tally.sent = append(t.tally.sent, time.Now())
			t.tally.mu.Unlock()
		}
		c := newClient(h)
		a = c.send(method, path+id, attempt, make([]byte, bytes), left)
		c.close()
		if a.status == http.StatusOK || kind == "upload" && a.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(a.wait)
	}
	return a
}

// check compares the repeats with the budget, in each window.
func (a *tally) check(t *trial) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := func(times []time.Time, from, to time.Time) (n int) {
		for _, at := range times {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		return n
	}
	held, worst, text := true, 0.0, ""
	for end := t.began.Add(retryWindow); end.Before(time.Now()); end = end.Add(100 * time.Millisecond) {
		requests := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, count(a.sent, end.Add(-back-retryWindow), end.Add(-back)))
		}
		repeats, allowed := count(a.repeats, end.Add(-retryWindow), end), retryRatio*float64(requests)+retryExtra
		if share := float64(repeats) / allowed; share > worst {
			worst, text = share, fmt.Sprintf("window that ends at %.1f s: %d repeats, %d requests of clients, %.1f repeats allowed", end.Sub(t.began).Seconds(), repeats, requests, allowed)
		}
		held = held && float64(repeats) <= allowed
	}
	t.record("%d requests and calls arrived at expedicao, and %d repeats", a.first, len(a.repeats))
	t.record("%s", text)
	return held
}

// callClient sends the calls of servers.
var callClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}

// call makes the call of a run through the node of the server's host, and reports whether it
// succeeded.
func (s *server) call(parent string, repeat bool) bool {
	id := fmt.Sprintf("%016x", rand.Uint64())
	if s.derived {
		id = parent + ".1"
	}
	s.record("server %s sends call %s for %s", s.id, id, parent)
	if repeat {
		s.tally.mu.Lock()
		s.tally.repeated[id] = true
		s.tally.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callBudget)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.outbound+"/release/"+id, nil)
	if err != nil {
		return false
	}
	r.Host = "ficu95.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(callBudget.Milliseconds()))
	response, err := callClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serveCalls answers a request of the case calls.
func (s *server) serveCalls(w http.ResponseWriter, r *http.Request, id string) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/stock/"):
		s.record("server %s runs %s", s.id, id)
		repeat := s.tally.arrive(id)
		time.Sleep(s.duration(id) / 2)
		if rand.Float64() < callShare && !s.call(id, repeat) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		time.Sleep(s.duration(id) / 2)
	case s.tally.arriveAtCalled(id):
		s.record("server %s sheds %s", s.id, id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	default:
		s.record("server %s runs %s", s.id, id)
		work := callWork
		if strings.HasPrefix(r.URL.Path, "/slot/") {
			work = slotWork
		}
		time.Sleep(work)
	}
	w.Header().Set("X-Response-Seal", "seal-"+id)
	_, _ = w.Write([]byte(s.id + " ran " + id + "\n"))
}
