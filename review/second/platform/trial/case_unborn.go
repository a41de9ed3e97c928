package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { scenarios["unborn"] = unborn }

// foreignSeq is the count in the heartbeat of another writer.
const foreignSeq = 1_000_000

// unborn sends a node one heartbeat of another writer, which lacks the field born, and
// lets the server beside it report that it drains. Rule DRAIN: no request reaches a server
// later than drain after its node has acknowledged that.
func unborn(d *deployment, o options) (bool, error) {
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
	time.Sleep(stableWindow)
	h := d.hosts[1]
	s := h.server
	if o.trouble {
		body, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.addr, "zone": h.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "coldLeft": "0ms", "seq": foreignSeq,
		})
		if err != nil {
			return false, err
		}
		d.note("the heartbeat of another writer for server %s is answered %d", s.id, h.send(s, "heartbeat", body))
	}
	time.Sleep(time.Second)
	s.setLeaving()
	h.stopBeats()
	status := h.report(s, "heartbeat", "draining")
	left := time.Now()
	d.note("the report of server %s that it drains is answered %d", s.id, status)
	time.Sleep(servesOn)
	stop()
	s.crash()
	late, longest := s.ranAfter(left.Add(drainTime))
	d.note("%d requests sent, %d answered 200; %d reached the server later than %s after the acknowledgement, the last one %s later still",
		len(c.all()), c.answered(200), late, drainTime, longest.Truncate(time.Millisecond))
	return late == 0 || status != http.StatusOK, nil
}
