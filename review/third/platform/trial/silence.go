package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = silence }

const (
	silenceHosts   = 6
	silenceClients = 8
	// stopGap is the time between the SIGTERMs of two hosts, and stopCount their number.
	stopGap, stopCount = 1400 * time.Millisecond, 2
	grace              = 6 * time.Second
	// uploadDeadline is the deadline of the uploads and the timeout of their route.
	uploadDeadline = 3 * time.Second
	uploadBytes    = 4000
)

// upload is what a client saw of one upload.
type upload struct {
	id   string
	host *host
	sent time.Time
	answer
}

// silence stops nodes while servers work on uploads. In the disruption servers are silent between
// the parts of an answer. The rule LOST is broken if a node that is stopping breaks an upload off,
// or answers it in the server's place, while the server is at work on it and before its deadline.
func silence(t *trial) (bool, error) {
	t.configure(7, route("slot", "/slot/", "upload", "3000ms", "expedicao"))
	if err := t.addHosts(slices.Repeat([]string{"expedicao"}, silenceHosts)...); err != nil {
		return false, err
	}
	if err := t.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var uploads []upload
	stopped := make(map[*host]time.Time)
	isStopped := func(h *host) bool {
		mu.Lock()
		defer mu.Unlock()
		return !stopped[h].IsZero()
	}
	for i, h := range t.hosts {
		for n := range silenceClients {
			clients.Go(func() {
				c := newClient(h)
				// Clients get no new work while their node is stopping.
				for j := 0; ctx.Err() == nil && !isStopped(h); j++ {
					u := upload{id: fmt.Sprintf("u%d-%d-%d", i, n, j), host: h, sent: time.Now()}
					u.answer = c.send("POST", "/slot/"+u.id, u.id, make([]byte, uploadBytes), uploadDeadline)
					mu.Lock()
					uploads = append(uploads, u)
					mu.Unlock()
					time.Sleep(u.wait)
				}
			})
		}
	}
	time.Sleep(2 * stableWindow)
	for _, h := range t.hosts[:stopCount] {
		mu.Lock()
		stopped[h] = time.Now()
		mu.Unlock()
		h.record("SIGTERM to the node of %s", h.name)
		h.signal(syscall.SIGTERM)
		time.Sleep(stopGap)
	}
	time.Sleep(grace)
	cancel()
	clients.Wait()
	time.Sleep(uploadDeadline) // servers may still work on uploads that were broken off
	lost, others := 0, make(map[string]int)
	for _, u := range uploads {
		at, ended := stopped[u.host], u.sent.Add(u.took)
		switch {
		case u.sealed || u.took >= uploadDeadline || !t.atWork(u.id, ended):
			others[u.kind()]++
		case at.IsZero() || ended.Before(at) || ended.After(at.Add(grace+time.Second)):
			others["broken off without a SIGTERM"]++
		default:
			lost++
			t.record("lost: %s at %s, sent %s before the SIGTERM, ended with %s while its server was at work", u.id, u.host.name, at.Sub(u.sent).Round(time.Millisecond), u.answer)
		}
	}
	t.record("%d uploads lost; the others: %v", lost, others)
	return lost == 0, nil
}

// atWork reports whether a server was at work on a request at a time.
func (t *trial) atWork(id string, at time.Time) bool {
	for _, h := range t.hosts {
		for _, s := range h.servers {
			if s.atWork(id, at) {
				return true
			}
		}
	}
	return false
}
