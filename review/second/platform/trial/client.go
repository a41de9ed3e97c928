package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// result is a request of a client and what came of it.
type result struct {
	id, uri, host string
	sent          time.Time
	took          time.Duration
	// status is 0 if there was no complete answer.
	status int
	sealed bool
	body   string
	err    error
}

// clients send requests over connections that they keep.
type clients struct {
	*deployment
	http    http.Client
	lastID  atomic.Int64
	mu      sync.Mutex
	results []result
}

func (d *deployment) newClients() *clients {
	return &clients{deployment: d, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}}}
}

// send sends one request and records its result. A body of nil means GET.
func (c *clients) send(h *host, prefix string, body []byte, deadline time.Duration) result {
	id := fmt.Sprintf("%016x", 0x5ec0000000000000+c.lastID.Add(1))
	r := result{id: id, uri: prefix + id, host: h.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	method, content := http.MethodGet, io.Reader(nil)
	if body != nil {
		// The type keeps the client from sending the request again by itself.
		method, content = http.MethodPost, struct{ io.Reader }{strings.NewReader(string(body))}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers()+r.uri, content)
	if err != nil {
		r.err = err
		return r
	}
	request.Host, request.ContentLength = hostName, int64(len(body))
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.write("request %s %s %s is sent to node %s", id, method, r.uri, h.name)
	response, err := c.http.Do(request)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			r.status, r.sealed, r.body = response.StatusCode, response.Header.Get("X-Response-Seal") != "", string(answer)
		}
	}
	r.err, r.took = err, time.Since(r.sent)
	c.write("request %s is answered %d by %q after %d ms, error: %v", id, r.status, strings.TrimSpace(r.body), r.took.Milliseconds(), err)
	c.mu.Lock()
	c.results = append(c.results, r)
	c.mu.Unlock()
	return r
}

// start sends requests to the hosts in turn, and returns a function that stops this and
// waits for the answers.
func (c *clients) start(pause time.Duration, hosts []*host, send func(h *host)) (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.every(ctx, pause, hosts, send)
	}()
	return func() {
		cancel()
		<-done
	}
}

// every sends requests to the hosts in turn until ctx ends.
func (c *clients) every(ctx context.Context, pause time.Duration, hosts []*host, send func(h *host)) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		wg.Go(func() { send(hosts[n%len(hosts)]) })
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *clients) all() []result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]result(nil), c.results...)
}

// answered returns how many requests have an answer with a status.
func (c *clients) answered(status int) (n int) {
	for _, r := range c.all() {
		if r.status == status {
			n++
		}
	}
	return n
}
