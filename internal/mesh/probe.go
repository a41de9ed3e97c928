package mesh

import (
	"context"
	"time"

	"github.com/vanillasail/vanillasail/pkg/slots"
)

const (
	// probeWhile is how long after the last request probes go on.
	probeWhile = 300 * time.Millisecond
	// probeTimeout bounds a probe; a healthy server answers within 10 ms.
	probeTimeout = 500 * time.Millisecond
	// lookPatience is how long a request waits for the pace before it begins without.
	lookPatience = 15 * time.Millisecond
	// findInterval is how often a server that is not known or lost is looked for.
	findInterval = 250 * time.Millisecond
)

// watch keeps the pace fresh while requests come. It is called with the lock.
func (f *far) watch(now time.Time) {
	f.asked = now
	if !f.probing && !f.untold && f.server.ID != "" && f.health != "" {
		f.probing = true
		time.AfterFunc(slots.ProbeInterval, f.look)
	}
}

func (f *far) look() {
	now := time.Now()
	f.mu.Lock()
	if now.Sub(f.asked) > probeWhile || f.server.ID == "" || f.lost || f.untold {
		f.probing = false
		f.mu.Unlock()
		return
	}
	age := f.gate.Slowdown.Age(now)
	waiting := f.gate.Waiting() > 0
	f.mu.Unlock()
	interval := slots.ProbeInterval
	if waiting {
		interval /= 2
	}
	if age >= interval*3/4 {
		f.freshen(context.Background())
	}
	time.AfterFunc(interval, f.look)
}

// freshen asks the server for its pace and waits for the answer; requests that
// want to know at the same time share it.
func (f *far) freshen(ctx context.Context) {
	f.mu.Lock()
	answered := f.looking
	if answered == nil {
		if f.health == "" || !f.probes.Allow() {
			f.mu.Unlock()
			return
		}
		answered = make(chan struct{})
		f.looking = answered
		go f.lookOnce(f.health, answered)
	}
	f.mu.Unlock()
	patience := time.NewTimer(lookPatience)
	defer patience.Stop()
	select {
	case <-answered:
	case <-patience.C:
	case <-ctx.Done():
	}
}

func (f *far) lookOnce(path string, answered chan struct{}) {
	f.probe(path)
	f.mu.Lock()
	f.looking = nil
	f.mu.Unlock()
	close(answered)
}

func (f *far) probe(path string) (instance string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	instance, load, healthy, err := f.pool.Probe(ctx, f.Server, path)
	if err != nil {
		return "", false
	}
	if load.Slots > 0 {
		f.observe(load)
	}
	return instance, healthy
}

// setHealth takes the path that tells the server's health.
func (f *far) setHealth(path string) {
	f.mu.Lock()
	first := f.health == "" && path != ""
	f.health = path
	f.mu.Unlock()
	if first {
		go f.find()
	}
}

// find asks the server for its name until it tells one: after a start of this
// node the next report may be seconds away.
func (f *far) find() {
	for {
		f.mu.Lock()
		path, known := f.health, f.server.ID != "" && !f.lost
		f.mu.Unlock()
		if known || path == "" || f.closed() {
			return
		}
		if id, healthy := f.probe(path); id != "" {
			f.found(id, healthy)
			return
		}
		time.Sleep(findInterval)
	}
}

// report takes what the server says of itself. It reports whether the report
// was current.
