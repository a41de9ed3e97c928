// Package load sends requests to nodes as callers do and compares what the
// callers saw with the journals of the backend servers.
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
	pause = 2 * time.Millisecond
	// resendEvery makes each nth keyed request be sent a second time.
	resendEvery = 5
	// keyedEvery makes each nth request a keyed one.
	keyedEvery = 4
	// sendTimeout is longer than the longest request, so that only a lost
	// connection ends a send without an answer.
	sendTimeout = 45 * time.Second
)

// Generator is a number of concurrent callers. Set the exported fields before Run.
type Generator struct {
	// Service is the first segment of the request paths.
	Service string
	Callers int
	// Query is added to each request path, without the question mark.
	Query string
	// Name starts every request ID, so that several loads can run in turn.
	Name string
	Results

	sent    atomic.Int64
	mu      sync.Mutex
	entries []entry
}

// entry is the caller address of a node.
type entry struct {
	addr    string
	avoided bool
}

// Use adds the caller address of a node, or uses an avoided one again.
func (l *Generator) Use(addr string) { l.set(addr, false) }

// Avoid keeps callers away from a node, as they do once it said that it stops.
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
	l.entries = append(l.entries, entry{addr: addr, avoided: avoided})
}

// pick returns the node for the nth choice.
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
				l.one(client, i, n)
				clock.Sleep(ctx, pause)
			}
		})
	}
	wg.Wait()
}
