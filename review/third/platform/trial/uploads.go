package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	// The nodes beside the endpoints get the uploads of clients on five other hosts.
	cases["uploads-at-servers"] = func(t *trial) (bool, error) {
		return uploads(t, uploadCase{bytes: 24 << 20, usual: 6, burst: 10, entries: []int{1, 2, 4, 5, 6}, watched: []int{0, 3}})
	}
	// One node gets all uploads from the clients on its own host.
	cases["uploads-at-entry"] = func(t *trial) (bool, error) {
		return uploads(t, uploadCase{bytes: 32 << 20, usual: 3, burst: 5, entries: []int{1}, watched: []int{1}})
	}
}

// uploadCase is a case in which clients send uploads.
type uploadCase struct {
	// bytes is the size of an upload. The configuration allows 64 MB.
	bytes int
	// usual is the number of uploads a second, and burst that in a burst: at most 1.7 times
	// the traffic.
	usual, burst int
	// entries are the hosts whose clients send the uploads, and watched those whose clients
	// send orders.
	entries, watched []int
}

const (
	// uploadSeconds is how long uploads are sent: a burst of 1.7 times the traffic lasts 3 s.
	uploadSeconds = 3
	// orderClients is the number of clients on each watched host.
	orderClients = 24
	// maxLost is how many orders the rule allows a host to lose.
	maxLost = 3
)

// uploads sends uploads within the limits of the configuration, evenly in each second or, in
// a burst, all of a second at once. Meanwhile clients on the watched hosts send orders over
// kept connections. The rule LOST holds if no host closes more than three of these
// connections while or after a server has run their orders.
func uploads(t *trial, c uploadCase) (bool, error) {
	t.configure(7, route("slot", "/slot/", "upload", "1500ms", "expedicao"), route("order", "/order/", "non_idempotent", "1500ms", "estoque"))
	if err := t.addHosts("expedicao", "estoque", "estoque", "expedicao", "estoque", "estoque", "estoque"); err != nil {
		return false, err
	}
	if err := t.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	for _, h := range t.hosts {
		h.watchMemory()
	}
	time.Sleep(3 * time.Second) // all hosts are in touch

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var orders, senders sync.WaitGroup
	lost := make([]atomic.Int64, len(c.watched))
	for i, host := range c.watched {
		for n := range orderClients {
			orders.Go(func() { t.sendOrders(ctx, t.hosts[host], fmt.Sprintf("o%d-%d", i, n), &lost[i]) })
		}
	}
	time.Sleep(time.Second)
	body := make([]byte, c.bytes)
	for second := range uploadSeconds {
		began := time.Now()
		count, pause := c.usual, time.Second/time.Duration(c.usual)
		if t.trouble {
			count, pause = c.burst, 0
		}
		for n := range count {
			senders.Go(func() {
				h, id := t.hosts[c.entries[n%len(c.entries)]], fmt.Sprintf("u%d-%d", second, n)
				a := newClient(h).send("POST", "/slot/x", id, body, 1500*time.Millisecond)
				t.record("upload %s of %d bytes at %s: %s", id, len(body), h.name, a)
			})
			time.Sleep(pause)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	senders.Wait()
	time.Sleep(time.Second)
	cancel()
	orders.Wait()
	for _, h := range t.hosts {
		t.record("%s (%s): at most %d MB of %d MB, killed for its memory %d times", h.name, h.service, h.peakMB, memoryMB, h.kills)
	}
	held := true
	for i, host := range c.watched {
		t.record("%s: %d orders passed on to a sound server and their connections closed without an answer", t.hosts[host].name, lost[i].Load())
		held = held && lost[i].Load() <= maxLost
	}
	return held, nil
}

// sendOrders sends one order after the other over a kept connection, and counts those whose
// connection was closed while a server ran them.
func (t *trial) sendOrders(ctx context.Context, h *host, name string, lost *atomic.Int64) {
	c := newClient(h)
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		a := c.send("POST", "/order/x", id, []byte(id), 1500*time.Millisecond)
		if a.status == 200 {
			continue
		}
		runs := 0
		for _, other := range t.hosts {
			runs += other.ran(id)
		}
		t.record("order %s at %s: %s, run %d times", id, h.name, a, runs)
		if a.cut && a.kept && runs > 0 {
			lost.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
