package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { trials["forged"] = forged }

// forgedDelay is how long after the deregistration the heartbeat of another writer comes.
const forgedDelay = time.Second

// forged deregisters one server, which goes on to serve for some seconds. With the
// disruption, another writer sends a heartbeat in its name that lacks the field born.
func forged(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(3); err != nil {
		return nil, err
	}
	leaving := d.machines[2]
	s := leaving.server
	s.mu.Lock()
	s.seq++
	seq, born := s.seq, s.born
	s.silent, s.state = true, "gone"
	s.mu.Unlock()
	if !s.report("deregister", "draining", seq, born) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	d.log("%s: the deregistration is acknowledged", leaving.name)
	time.Sleep(forgedDelay)
	if trouble {
		status, err := s.forge(seq + 1)
		d.log("%s: another writer sends heartbeat %d (ready) without the field born; the node answers %d %v", leaving.name, seq+1, status, err)
	}
	return d.checkDrained(s, acknowledged)
}

// forge sends a heartbeat in the name of the server that lacks the field born.
func (s *server) forge(seq int) (status int, err error) {
	body, err := json.Marshal(map[string]any{
		"service": service, "address": s.machine.ip + ":8147", "zone": "poa-a", "version": "v1", "slots": s.slots,
		"state": "ready", "coldLeft": "0ms", "seq": seq,
	})
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+s.machine.ip+":8146/api/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
