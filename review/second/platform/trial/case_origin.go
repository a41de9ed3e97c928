package main

import (
	"syscall"
	"time"
)

func init() { scenarios["origin"] = origin }

// origin lets a server of one service leave, and gives its address to a server of another
// service after addrReuse; the platform tells the node by its settings. Rule UNASKED: the
// caller's service that servers are told is that of the machine where the request began.
func origin(d *deployment, o options) (bool, error) {
	d.configure(
		route{"/stock/", "idempotent", "estoque", 1200 * time.Millisecond, 2},
		route{"/dock/", "idempotent", "expedicao", 1200 * time.Millisecond, 2},
	)
	if err := d.addHosts(4, 2); err != nil {
		return false, err
	}
	c := d.newClients()
	stop := c.start(20*time.Millisecond, d.hosts, func(h *host) { c.send(h, "/stock/", nil, 1200*time.Millisecond) })
	defer stop()
	time.Sleep(stableWindow)
	h := d.hosts[1]
	var told time.Time
	if o.trouble {
		old := h.server
		old.setLeaving()
		h.stopBeats()
		d.note("the deregistration of server %s is answered %d", old.id, h.report(old, "deregister", ""))
		time.Sleep(drainTime + time.Second)
		old.crash()
		time.Sleep(addrReuse + 500*time.Millisecond)
		h.service = "expedicao"
		if err := h.writeSettings(false, d.storeAddr); err != nil {
			return false, err
		}
		h.signal(syscall.SIGHUP)
		told = time.Now()
		if err := h.replaceServer(&server{id: "i-9-expedicao", service: h.service, slots: 12, work: 10 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	stop()
	began := make(map[string]result)
	for _, r := range c.all() {
		began[r.id] = r
	}
	wrong := 0
	for _, a := range d.ran() {
		r := began[a.id]
		service := "estoque"
		switch {
		case r.host == d.hosts[4].name || r.host == d.hosts[5].name:
			service = "expedicao"
		case r.host == h.name && o.trouble && r.sent.After(told):
			if r.sent.Sub(told) <= configApply {
				continue // as long as a configuration may take
			}
			service = "expedicao"
		}
		if a.origin != service {
			wrong++
		}
	}
	d.note("%d requests sent, %d answered 200; %d run with another caller's service than that of the machine where they began",
		len(c.all()), c.answered(200), wrong)
	return wrong == 0, nil
}
