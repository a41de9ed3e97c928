package main

import (
	"net/http"
	"time"
)

func init() { scenarios["rejoin"] = rejoin }

// servesOn is how long a server serves on after the acknowledgement of its leaving.
const servesOn = 9 * time.Second

// rejoin crashes a server, which is back under its name after a second and leaves two
// seconds later with a deregistration. With the disruption its first heartbeat arrives
// four seconds late, and the second one, too. Rule DRAIN: no request reaches a server later
// than drain after its node has acknowledged that it is gone.
func rejoin(d *deployment, o options) (bool, error) {
	d.configure(
		route{"/stock/", "idempotent", "estoque", 1200 * time.Millisecond, 2},
		route{"/reserve/", "non_idempotent", "estoque", 800 * time.Millisecond, 2},
	)
	if err := d.addHosts(4, 0); err != nil {
		return false, err
	}
	c := d.newClients()
	stop := c.start(10*time.Millisecond, d.hosts, func(h *host) { c.send(h, "/stock/", nil, 1200*time.Millisecond) })
	defer stop()
	time.Sleep(3 * time.Second)
	h := d.hosts[1]
	old := h.crashServer()
	time.Sleep(time.Second)
	s := &server{id: old.id, service: h.service, slots: 12, work: 10 * time.Millisecond}
	if o.trouble {
		h.delayBeats(4 * time.Second)
	}
	if err := h.replaceServer(s); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	s.setLeaving()
	h.stopBeats()
	status := h.report(s, "deregister", "")
	left := time.Now()
	d.note("the deregistration of server %s is answered %d", s.id, status)
	time.Sleep(servesOn)
	stop()
	s.crash()
	late, longest := s.ranAfter(left.Add(drainTime))
	d.note("%d requests sent, %d answered 200; %d reached the server later than %s after the acknowledgement, the last one %s later still",
		len(c.all()), c.answered(200), late, drainTime, longest.Truncate(time.Millisecond))
	return late == 0 || status != http.StatusOK, nil
}
