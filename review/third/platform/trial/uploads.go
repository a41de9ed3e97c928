package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["uploads"] = uploads }

const (
	// uploadBytes is half of maxBodyBytes of the configuration.
	uploadBytes = 32 << 20
	// usualUploads is the number of uploads a second, and burstUploads that in a burst of
	// 1.6 times the traffic.
	usualUploads, burstUploads = 5, 8
	// uploadSeconds is how long uploads are sent: a burst of 1.7 times the traffic lasts 3 s.
	uploadSeconds = 3
	// orderClients is the number of clients of each of the two hosts that the uploads go to.
	orderClients = 12
	maxLost      = 3
)

// uploads sends uploads within the limits of the configuration, evenly in each second or, in
// a burst, all at once. Meanwhile clients on the hosts of the uploads' service send orders to
// the other service over kept connections. The rule LOST holds if no host closes more than
// three of these connections while a server is at work on their orders.
func uploads(t *trial) (bool, error) {
	t.configure(7, route("slot", "/slot/", "upload", "1500ms", "expedicao"), route("order", "/order/", "non_idempotent", "1500ms", "estoque"))
	if err := t.addHosts("expedicao", "estoque", "estoque", "expedicao", "estoque", "estoque"); err != nil {
		return false, err
	}
	if err := t.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	for _, h := range t.hosts {
		h.watchMemory()
	}
	targets, entries := []*host{t.hosts[0], t.hosts[3]}, []*host{t.hosts[1], t.hosts[2], t.hosts[4], t.hosts[5]}
	time.Sleep(3 * time.Second) // all hosts are in touch

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var orders, senders sync.WaitGroup
	lost := make([]atomic.Int64, len(targets))
	for i, h := range targets {
		for n := range orderClients {
			orders.Go(func() { t.sendOrders(ctx, h, fmt.Sprintf("o%d-%d", i, n), &lost[i]) })
		}
	}
	time.Sleep(time.Second)
	body := make([]byte, uploadBytes)
	for second := range uploadSeconds {
		began := time.Now()
		count, pause := usualUploads, time.Second/usualUploads
		if t.trouble {
			count, pause = burstUploads, 0
		}
		for n := range count {
			senders.Go(func() {
				h, id := entries[n%len(entries)], fmt.Sprintf("u%d-%d", second, n)
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
	held := true
	for _, h := range t.hosts {
		t.record("%s (%s): at most %d MB of %d MB, killed for its memory %d times", h.name, h.service, h.peakMB, memoryMB, h.kills)
	}
	for i, h := range targets {
		t.record("%s: %d orders passed on to a sound server and their connections closed without an answer", h.name, lost[i].Load())
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
			runs += other.server.ran(id)
		}
		t.record("order %s at %s: %s, run %d times", id, h.name, a, runs)
		if a.cut && a.kept && runs > 0 {
			lost.Add(1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
