package main

import (
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

func init() { scenarios["badid"] = badID }

// badID sends a node one heartbeat of another writer, whose id ends with CR LF. Rule
// UNASKED: servers run what clients have sent, with the same body and the service of the
// machine where it began.
func badID(d *deployment, o options) (bool, error) {
	d.configure(
		route{"/stock/", "idempotent", "estoque", 1200 * time.Millisecond, 2},
		route{"/reserve/", "non_idempotent", "estoque", 800 * time.Millisecond, 2},
	)
	if err := d.addHosts(4, 0); err != nil {
		return false, err
	}
	const order = "pallets=3"
	c := d.newClients()
	var n atomic.Int64
	stop := c.start(10*time.Millisecond, d.hosts, func(h *host) {
		if n.Add(1)/int64(len(d.hosts))%2 == 0 {
			c.send(h, "/reserve/", []byte(order), 1500*time.Millisecond)
		} else {
			c.send(h, "/stock/", nil, 1200*time.Millisecond)
		}
	})
	defer stop()
	time.Sleep(stableWindow)
	h := d.hosts[1]
	if o.trouble {
		s := h.server
		foreign := &server{id: url.PathEscape(s.id + "\r\n"), service: s.service, addr: s.addr, slots: s.slots, born: s.born}
		d.note("the heartbeat of another writer is answered %d", h.report(foreign, "heartbeat", "ready"))
	}
	time.Sleep(3 * time.Second)
	stop()
	status := make(map[string]int)
	for _, r := range c.all() {
		status[r.id] = r.status
	}
	changed, served, unnamed := 0, 0, 0
	for _, a := range d.ran() {
		if a.origin != "estoque" {
			unnamed++
		}
		if strings.HasPrefix(a.uri, "/reserve/") && a.body != order {
			changed++
			d.write("request %s has run with the body %q instead of %q", a.id, a.body, order)
			if status[a.id] == 200 {
				served++
			}
		}
	}
	d.note("%d requests sent, %d answered 200; %d orders run with another body, %d of them answered 200; %d requests run without the caller's service",
		len(c.all()), c.answered(200), changed, served, unnamed)
	return changed == 0 && unnamed == 0, nil
}
