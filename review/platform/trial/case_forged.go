package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { trials["forged"] = forged }

// forgedLead is how long before the deregistration the heartbeat of another writer comes.
const forgedLead = 6 * time.Second

// forged deregisters one server, which goes on to serve for some seconds. With the
// disruption, another writer has sent one heartbeat in its name before, which lacks the
// field zone.
func forged(d *deployment, trouble bool) ([]string, error) {
	if err := d.start(3); err != nil {
		return nil, err
	}
	leaving := d.machines[2]
	s := leaving.server
	if trouble {
		status, err := s.forge()
		d.log("%s: another writer sends a heartbeat (ready) without the field zone; the node answers %d %v", leaving.name, status, err)
	}
	time.Sleep(forgedLead)
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
	return d.checkDrained(s, acknowledged)
}

// forge sends a heartbeat in the name of the server that lacks the field zone. It has the
// start and the sequence number of its writer.
func (s *server) forge() (status int, err error) {
	body, err := json.Marshal(map[string]any{
		"service": service, "address": s.machine.ip + ":8147", "version": "v1", "slots": s.slots,
		"state": "ready", "coldLeft": "0ms", "seq": 1, "born": time.Now().UnixMilli(),
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
