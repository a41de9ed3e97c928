package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { trials["leave"] = leave }

const (
	// beatDelay is how late the last heartbeat before the deregistration arrives.
	beatDelay = 8 * time.Second
	// storeOutage is how long the store is down.
	storeOutage = 4500 * time.Millisecond
	// servingTime is how long the server goes on to serve after its deregistration.
	servingTime = 12 * time.Second
)

// leave deregisters one server, which goes on to serve for some seconds, and restarts the
// node beside it as in a rolling restart. With the disruption, the store is down meanwhile.
// A heartbeat from before the deregistration arrives late.
func leave(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(3); err != nil {
		return nil, err
	}
	leaving := d.machines[2]
	s := leaving.server
	s.mu.Lock()
	s.seq++
	seq, born := s.seq, s.born
	s.silent = true
	s.mu.Unlock()
	d.log("%s: server sends heartbeat %d (ready), which the network delays by %s", leaving.name, seq, beatDelay)
	late := make(chan struct{})
	go func() {
		defer close(late)
		time.Sleep(beatDelay)
		ok := s.report("heartbeat", "ready", seq, born)
		d.log("%s: heartbeat %d (ready) arrives; acknowledged %v", leaving.name, seq, ok)
	}()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		d.store.SetDown(true)
		d.log("the store is down")
		time.AfterFunc(storeOutage, func() {
			d.store.SetDown(false)
			d.log("the store is back")
		})
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	s.state = "gone"
	s.mu.Unlock()
	if !s.report("deregister", "draining", seq+1, born) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	d.log("%s: the deregistration is acknowledged", leaving.name)
	time.Sleep(100 * time.Millisecond)
	if err := leaving.restart(); err != nil {
		return nil, err
	}
	if err := leaving.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	d.log("all machines are in touch")
	<-late
	c := connection{machine: d.machines[0]}
	defer c.close()
	for n := 0; time.Since(acknowledged) < servingTime; n++ {
		id := fmt.Sprintf("look-%d", n)
		r := c.send(request{method: "GET", path: "/look/" + id, id: id, deadline: 1200 * time.Millisecond})
		if r.status != http.StatusOK {
			d.log("client of %s: %s got %d, error %v", c.machine.name, id, r.status, r.err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	leaving.logLines("backend server", "earlier process", "late heartbeat")
	reached := 0
	for _, a := range s.runs() {
		if strings.HasPrefix(a.id, "look-") && a.at.After(acknowledged.Add(drainTime)) {
			reached++
		}
	}
	d.log("%d requests reached the leaving server later than %s after the acknowledgement", reached, drainTime)
	if reached > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests reached a server later than %s after its leaving was acknowledged", reached, drainTime)}, nil
	}
	return nil, nil
}
