package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() {
	cases["poison"] = func(t *trial) (bool, error) { return poison(t, play{leaveEarly: t.trouble}) }
	cases["twin"] = func(t *trial) (bool, error) { return poison(t, play{caller: "expedicao", twins: t.trouble}) }
	cases["begun"] = func(t *trial) (bool, error) { return poison(t, play{begun: t.trouble}) }
}

// play is a play of a request that crashes servers.
type play struct {
	// leaveEarly is set if its clients, and some others, leave before their deadline.
	leaveEarly bool
	// caller is the service at whose hosts it is sent, and whose requests crash servers;
	// empty means any. With twins, a request of another service has the same path.
	caller string
	twins  bool
	// begun is set if servers crash when they have sent a part of the answer to it.
	begun bool
}

const (
	poisonHosts = 12
	// callerHosts is the number of hosts of the service in play.caller.
	callerHosts  = 4
	stableWindow = 3 * time.Second
	// poisonPause is the time between two requests that crash servers.
	poisonPause = 250 * time.Millisecond
	// leaveTime is how long clients leave before their deadline, after leaveAfter: half of
	// the routes' latency objective.
	leaveTime, leaveAfter = 5500 * time.Millisecond, 150 * time.Millisecond
	// twinPause is the time between a request with the same path and the next one of its
	// client.
	twinPause = 300 * time.Millisecond
	// poisonTime is how long the requests come that crash servers.
	poisonTime = 10 * time.Second
	// maxRetries is how many retries the rule allows.
	maxRetries = 3
)

// poison sends a request that crashes each server that begins to run it, again and again and
// at any host, beside other requests. The rule BUDGET holds if at most three retries reach
// servers that were sent later than stableWindow after the third crash.
func poison(t *trial, p play) (bool, error) {
	t.configure(7, route("look", "/look/", "idempotent", "1200ms", "estoque"), route("order", "/order/", "non_idempotent", "1500ms", "estoque"))
	services := slices.Repeat([]string{"estoque"}, poisonHosts)
	senders := poisonHosts
	if p.caller != "" {
		senders = callerHosts
		copy(services, slices.Repeat([]string{p.caller}, senders))
	}
	path := "/look" + crashPath
	if p.begun {
		path = "/look" + crashLaterPath
	}
	t.crashCaller = p.caller
	if err := t.addHosts(services...); err != nil {
		return false, err
	}
	if err := t.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var leaving, others sync.WaitGroup
	answers := make(map[string]int)
	var mu sync.Mutex
	end := time.Now().Add(time.Hour)
	// leave returns when a client leaves whose request is sent now.
	leave := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if p.leaveEarly && time.Now().Before(end) {
			return leaveAfter
		}
		return 0
	}
	// keepSending sends a kind of request from one client until ctx ends.
	keepSending := func(h *host, kind, method, prefix string, path func(id string) string, pause time.Duration) {
		others.Go(func() {
			c := newClient(h)
			for j := 0; ctx.Err() == nil; j++ {
				id := fmt.Sprintf("%s-%d", prefix, j)
				a := c.send(method, path(id), id, nil, 1200*time.Millisecond)
				mu.Lock()
				answers[kind+" "+a.kind()]++
				mu.Unlock()
				time.Sleep(a.wait + pause)
			}
		})
	}
	for i, h := range t.hosts {
		for n, kind := range []struct{ method, path string }{{"POST", "/order/"}, {"POST", "/order/"}, {"GET", "/look/"}, {"GET", "/look/"}} {
			keepSending(h, kind.path, kind.method, fmt.Sprintf("c%d-%d", i, n), func(id string) string { return kind.path + id }, 0)
		}
		if p.twins && h.service != p.caller {
			keepSending(h, "same path", "GET", fmt.Sprintf("t%d", i), func(string) string { return path }, twinPause)
		}
	}
	time.Sleep(stableWindow)
	mu.Lock()
	end = time.Now().Add(leaveTime)
	mu.Unlock()
	for i, h := range t.hosts {
		leaving.Go(func() {
			c := newClient(h)
			for j := 0; leave() > 0; j++ {
				id := fmt.Sprintf("g%d-%d", i, j)
				c.leaveAfter = leave()
				a := c.send("GET", "/look/"+id, id, nil, 1200*time.Millisecond)
				time.Sleep(a.wait)
			}
		})
	}
	late := make([]func() bool, 0)
	for n, began := 0, time.Now(); time.Since(began) < poisonTime; n++ {
		h, id := t.hosts[n%senders], fmt.Sprintf("p%d", n)
		sent := time.Now()
		leaving.Go(func() {
			c := newClient(h)
			c.leaveAfter = leave()
			c.send("GET", path, id, nil, 1200*time.Millisecond)
		})
		late = append(late, func() bool {
			third, ok := t.thirdCrash()
			reached := 0
			for _, other := range t.hosts {
				reached += other.ran(id)
			}
			return ok && sent.After(third.Add(stableWindow)) && reached > 0
		})
		time.Sleep(poisonPause)
	}
	leaving.Wait()
	cancel()
	others.Wait()
	retries, crashes := 0, 0
	for _, reached := range late {
		if reached() {
			retries++
		}
	}
	for _, h := range t.hosts {
		crashes += len(h.crashes())
	}
	t.record("answers to the other requests, whose clients stayed: %v", answers)
	t.record("%d crashes; %d retries reached servers that were sent later than %s after the third", crashes, retries, stableWindow)
	return retries <= maxRetries, nil
}

// thirdCrash returns the time of the third crash of a server, if there were three.
func (t *trial) thirdCrash() (time.Time, bool) {
	var all []time.Time
	for _, h := range t.hosts {
		all = append(all, h.crashes()...)
	}
	if len(all) < 3 {
		return time.Time{}, false
	}
	slices.SortFunc(all, time.Time.Compare)
	return all[2], true
}
