package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/roster"
	"github.com/vanillasail/vanillasail/pkg/slots"
)

const (
	// probeIdleTime is how long after the last request the probes stop.
	probeIdleTime = 300 * time.Millisecond
	// probeTimeout bounds a probe; a healthy server answers within 10 ms.
	probeTimeout = 500 * time.Millisecond
	// probeWait is how long a request waits for the slowdown before it begins without
	// it.
	probeWait = 15 * time.Millisecond
	// findInterval is how often a server that is unknown or down is probed.
	findInterval = 250 * time.Millisecond
)

// startProbing starts the probe loop, which keeps the slowdown fresh while requests
// arrive. The caller holds p.mu.
func (p *serverProxy) startProbing(now time.Time) {
	p.lastRequest = now
	if !p.probing && !p.noSlowdown && p.server.ID != "" && p.healthPath != "" {
		p.probing = true
		time.AfterFunc(slots.ProbeInterval, p.probeLoop)
	}
}

func (p *serverProxy) probeLoop() {
	now := time.Now()
	p.mu.Lock()
	if now.Sub(p.lastRequest) > probeIdleTime || p.server.ID == "" || p.down || p.noSlowdown {
		p.probing = false
		p.mu.Unlock()
		return
	}
	age := p.limiter.Slowdown.Age(now)
	waiting := p.limiter.Waiting() > 0
	p.mu.Unlock()
	interval := slots.ProbeInterval
	if waiting {
		interval /= 2
	}
	if age >= interval*3/4 {
		p.refreshSlowdown(context.Background())
	}
	time.AfterFunc(interval, p.probeLoop)
}

// refreshSlowdown probes the server for its slowdown and waits for the answer.
// Concurrent requests share one probe.
func (p *serverProxy) refreshSlowdown(ctx context.Context) {
	p.mu.Lock()
	done := p.probeDone
	if done == nil {
		if p.healthPath == "" || !p.probeRate.Allow() {
			p.mu.Unlock()
			return
		}
		done = make(chan struct{})
		p.probeDone = done
		go p.probeOnce(p.healthPath, done)
	}
	p.mu.Unlock()
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (p *serverProxy) probeOnce(path string, done chan struct{}) {
	p.probe(path)
	p.mu.Lock()
	p.probeDone = nil
	p.mu.Unlock()
	close(done)
}

// probe requests the health check and returns the name of the server that answers, if it
// is a valid one, and whether it is healthy.
func (p *serverProxy) probe(path string) (instance string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	instance, load, healthy, err := p.pool.Probe(ctx, p.backend().Addr, path)
	if err != nil {
		return "", false
	}
	if load.Slots > 0 {
		p.observe(load)
	}
	if instance != "" {
		if err := roster.CheckServerID(instance); err != nil {
			p.Log.WithError(err).Warn("name in the answer to a health check ignored")
			return "", healthy
		}
	}
	return instance, healthy
}

// setHealthPath sets the path of the server's health check.
func (p *serverProxy) setHealthPath(path string) {
	p.mu.Lock()
	first := p.healthPath == "" && path != ""
	p.healthPath = path
	p.mu.Unlock()
	switch {
	case first:
		go p.findServer()
	case path == "":
		p.trust()
	}
}

// findServer probes the server until it answers with its name: after a start of this
// node the server's next report may be seconds away.
func (p *serverProxy) findServer() {
	for {
		p.mu.Lock()
		path, known := p.healthPath, p.server.ID != "" && !p.down && p.held == nil
		p.mu.Unlock()
		if known || path == "" || p.serverGone() {
			return
		}
		if id, healthy := p.probe(path); id != "" {
			p.serverFound(id, healthy)
			return
		}
		time.Sleep(findInterval)
	}
}
