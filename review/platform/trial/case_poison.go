package main

import (
	"context"
	"fmt"
	"time"
)

func init() { trials["poison"] = poison }

const (
	// poisonPath is that of the request that crashes servers.
	poisonPath = "/look" + crashPart + "/1"
	// poisonPause is the time between two attempts of its clients, and poisonTries how
	// many attempts each machine gets in a row at most.
	poisonPause = 400 * time.Millisecond
	poisonTries = 8
	// retriesAllowed is how many retries the rule tolerates.
	retriesAllowed = 3
)

// poison sends a request that crashes each server which runs it, again and again, while
// the nodes are restarted one after the other.
func poison(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(5); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := d.keepOrdering(ctx, d.machines, 1)
	attempts := 0
	// send makes attempts at a machine, and waits for the servers after each crash.
	send := func(m *machine) {
		for range poisonTries {
			before := d.crashCount()
			attempts++
			id := fmt.Sprintf("poison-%d", attempts)
			c := connection{machine: m}
			r := c.send(request{method: "GET", path: poisonPath, id: id, deadline: 1200 * time.Millisecond})
			c.close()
			d.log("client of %s: %s got %d, error %v", m.name, id, r.status, r.err)
			time.Sleep(poisonPause)
			if d.crashCount() > before {
				time.Sleep(crashPause)
			}
		}
	}
	send(d.machines[0])
	d.log("%d crashes; the request comes again while the nodes are restarted", d.crashCount())
	for _, m := range d.machines {
		if trouble {
			if err := m.restart(); err != nil {
				return nil, err
			}
			if err := m.awaitReady(10 * time.Second); err != nil {
				return nil, err
			}
		}
		time.Sleep(stableWindow + poisonPause) // all machines are in touch again
		send(m)
	}
	cancel()
	failed := 0
	for _, r := range wait() {
		if r.status == 0 || r.status/100 == 5 && r.status != 503 {
			failed++
		}
	}
	d.log("%d orders of other clients ended without a success or a refusal", failed)
	return d.checkPoison(), nil
}

func (d *deployment) crashCount() (n int) {
	for _, m := range d.machines {
		m.server.mu.Lock()
		n += len(m.server.crashes)
		m.server.mu.Unlock()
	}
	return n
}

// checkPoison counts the retries that reached servers later than stableWindow after the
// third crash. All machines were in touch when they were sent.
func (d *deployment) checkPoison() []string {
	var third time.Time
	crashes := make([]time.Time, 0, 16)
	for _, m := range d.machines {
		crashes = append(crashes, m.server.crashes...)
		m.logLines("backend server crashed", "request refused: its content", "node told of a crash")
	}
	for _, c := range crashes {
		earlier := 0
		for _, other := range crashes {
			if other.Before(c) {
				earlier++
			}
		}
		if earlier == 2 {
			third = c
		}
	}
	if third.IsZero() {
		return nil
	}
	late := 0
	for _, m := range d.machines {
		for _, a := range m.server.runs() {
			if a.uri == poisonPath && a.at.After(third.Add(stableWindow)) {
				late++
			}
		}
	}
	d.log("%d crashes, the third at %.3f; %d retries reached servers later than %s after it", len(crashes), d.since(third), late, stableWindow)
	if late > retriesAllowed {
		return []string{fmt.Sprintf("BUDGET: a request that crashes servers reached them in %d retries sent later than %s after the third crash", late, stableWindow)}
	}
	return nil
}
