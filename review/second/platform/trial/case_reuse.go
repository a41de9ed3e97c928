package main

import (
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["reuse"] = reuse }

// reuse ends a server of one service without notice and gives its address to a server of
// another service after addrReuse; the platform tells the node by its settings. Rule ROUTE:
// no service runs a request that no configuration allows to go to it.
func reuse(d *deployment, o options) (bool, error) {
	d.configure(
		route{"/stock/", "idempotent", "estoque", 1200 * time.Millisecond, 2},
		route{"/reserve/", "non_idempotent", "estoque", 800 * time.Millisecond, 2},
		route{"/dock/", "idempotent", "expedicao", 1200 * time.Millisecond, 2},
	)
	if err := d.addHosts(4, 2); err != nil {
		return false, err
	}
	c := d.newClients()
	var n atomic.Int64
	stop := c.start(10*time.Millisecond, d.hosts, func(h *host) {
		switch n.Add(1) / int64(len(d.hosts)) % 3 {
		case 0:
			c.send(h, "/reserve/", []byte("order"), 1500*time.Millisecond)
		case 1:
			c.send(h, "/stock/", nil, 1200*time.Millisecond)
		default:
			c.send(h, "/dock/", nil, 1200*time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	if o.trouble {
		h := d.hosts[1]
		h.crashServer()
		time.Sleep(addrReuse + 500*time.Millisecond)
		h.service = "expedicao"
		if err := h.writeSettings(false, d.storeAddr); err != nil {
			stop()
			return false, err
		}
		h.signal(syscall.SIGHUP)
		if err := h.replaceServer(&server{id: "i-9-expedicao", service: h.service, slots: 12, work: 10 * time.Millisecond}); err != nil {
			stop()
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	stop()
	foreign, orders := 0, 0
	for _, a := range d.ran() {
		allowed := "estoque"
		if strings.HasPrefix(a.uri, "/dock/") {
			allowed = "expedicao"
		}
		if a.service != allowed {
			foreign++
			if strings.HasPrefix(a.uri, "/reserve/") {
				orders++
			}
		}
	}
	d.note("%d requests sent, %d answered 200; %d run by a service that no configuration allows, %d of them not idempotent",
		len(c.all()), c.answered(200), foreign, orders)
	return foreign == 0, nil
}
