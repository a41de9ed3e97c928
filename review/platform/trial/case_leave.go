package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
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
	// exitCheck is how long orders go on after the exit.
	exitCheck = 500 * time.Millisecond
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
	return d.checkDrained(s, acknowledged)
}

// checkDrained sends orders through the other machines until the leaving server exits,
// which is servingTime after the acknowledgement, and reports those that reached it too
// late.
func (d *deployment) checkDrained(s *server, acknowledged time.Time) ([]string, error) {
	others := slices.DeleteFunc(slices.Clone(d.machines), func(m *machine) bool { return m == s.machine })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	wait := d.keepOrdering(ctx, others, 4)
	time.Sleep(time.Until(acknowledged.Add(servingTime)))
	d.log("%s: server %s exits", s.machine.name, s.id)
	s.stop()
	time.Sleep(exitCheck)
	cancel()
	results := wait()
	s.machine.logLines("backend server", "earlier process", "late heartbeat")
	reached := make(map[string]bool)
	for _, a := range s.runs() {
		if a.at.After(acknowledged.Add(drainTime)) {
			reached[a.id] = true
		}
	}
	lost := 0
	for _, r := range results {
		if reached[r.id] && r.status != http.StatusOK {
			lost++
			d.log("order %s, which the leaving server ran, got %d, error %v", r.id, r.status, r.err)
		}
	}
	d.log("%d orders reached the leaving server later than %s after the acknowledgement; %d of them got no success", len(reached), drainTime, lost)
	if len(reached) > 0 {
		return []string{fmt.Sprintf("DRAIN: %d orders reached a server later than %s after its leaving was acknowledged; %d of them were cut off as it exited", len(reached), drainTime, lost)}, nil
	}
	return nil, nil
}
