// Package load sends requests as callers do and compares the answers with the
// requests that the backend servers ran.
package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillasail/vanillasail/internal/clock"
)

const (
	sendPause = 2 * time.Millisecond
	// Every resendEvery-th keyed request is sent a second time.
	resendEvery = 5
	// Every keyedEvery-th request has an idempotency key.
	keyedEvery = 4
	// sendTimeout exceeds the duration of the longest request, so that only a lost
	// connection leaves a request without an answer.
	sendTimeout = 45 * time.Second
)

// Generator sends requests as a number of concurrent callers. Set the exported
// fields before Run.
type Generator struct {
	// Service is the first segment of the request paths.
	Service string
	Callers int
	// Query is added to each request path, without the question mark.
	Query string
	// Name is the prefix of every request ID, so that the requests of consecutive
	// generators are distinct.
	Name string
	Results

	sent    atomic.Int64
	mu      sync.Mutex
	entries []entryNode
}

// entryNode is a node that requests can be sent to, with its address for callers.
type entryNode struct {
	addr    string
	avoided bool
}

// Use adds the address of a node for callers, or uses an avoided one again.
func (l *Generator) Use(addr string) { l.set(addr, false) }

// Avoid stops sending requests to a node, as callers do once the node announces
// that it is stopping.
func (l *Generator) Avoid(addr string) { l.set(addr, true) }

func (l *Generator) set(addr string, avoided bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].addr == addr {
			l.entries[i].avoided = avoided
			return
		}
	}
	l.entries = append(l.entries, entryNode{addr: addr, avoided: avoided})
}

// pick returns the address of the first usable node, beginning with the nth.
func (l *Generator) pick(n int) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if e := l.entries[(n+i)%len(l.entries)]; !e.avoided {
			return e.addr, true
		}
	}
	return "", false
}

// Sent returns the number of requests sent so far.
func (l *Generator) Sent() int64 { return l.sent.Load() }

// Run sends requests until ctx ends and then waits for the answers.
func (l *Generator) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range l.Callers {
		wg.Go(func() {
			client := &http.Client{Timeout: sendTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				l.sendOne(client, i, n)
				clock.Sleep(ctx, sendPause)
			}
		})
	}
	wg.Wait()
}
