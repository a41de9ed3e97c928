package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath   = "/health"
	beatInterval = 1500 * time.Millisecond
	graceTime    = 6 * time.Second
)

// host is a machine: a node in its own process, and the server beside it.
type host struct {
	*deployment
	name, service, zone, region, ip string

	mu     sync.Mutex
	server *server
	seq    int
	cmd    *exec.Cmd
	exited chan struct{}
	// beating is set while the server sends heartbeats.
	beating bool
	// delay is how late heartbeats arrive.
	delay time.Duration
}

const settingsText = `self.nodeName=%s
self.role=node
self.machineClass=sidecar
self.serves=sidecar
self.ip=%s
self.zone=%s
self.region=%s
self.bootstrap=%t
self.limits.cpuShare=0.32
self.limits.cpuCores=1
self.limits.memoryMb=284
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.appAddr=%s
self.service=%s
network.listen.inbound=%s:8145
network.listen.outbound=%s:8141
network.listen.ready=%s:8140
network.listen.control=%s:8146
network.internalPorts=7660,7675
platform.beatInterval=1500ms
platform.platform.address=%s
platform.platform.form=table
terms.bounds.addrReuse=2s
terms.bounds.stableWindow=3000ms
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.configApply=2000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetExtraTries=64
`

func (h *host) callers() string { return h.ip + ":8141" }
func (h *host) appAddr() string { return h.ip + ":8147" }
func (h *host) path() string    { return filepath.Join(h.dir, h.name+".conf") }

// writeSettings writes the settings file of the node's process.
func (h *host) writeSettings(bootstrap bool, store string) error {
	text := fmt.Sprintf(settingsText, h.name, h.ip, h.zone, h.region, bootstrap, h.appAddr(), h.service, h.ip, h.ip, h.ip, h.ip, store)
	return os.WriteFile(h.path(), []byte(text), 0o600)
}

// startNode starts the node's process.
func (h *host) startNode() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir, "LANG=C", "VANILLASAIL_NODE_FILE=" + h.path(), "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	h.write("node %s starts, process %d", h.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the node's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
		h.write("node %s gets %s", h.name, s)
	}
}

// kill ends the node's process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// replaceServer starts a server at the host's address.
func (h *host) replaceServer(s *server) error {
	s.recorder, s.addr, s.born = h.recorder, h.appAddr(), time.Now().UnixMilli()
	if err := s.start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.server, h.seq, h.beating = s, 0, true
	h.mu.Unlock()
	h.deployment.mu.Lock()
	h.servers = append(h.servers, s)
	h.deployment.mu.Unlock()
	go h.beat(s)
	return nil
}

// crashServer ends the host's server without notice and returns it.
func (h *host) crashServer() *server {
	h.mu.Lock()
	s := h.server
	h.beating = false
	h.mu.Unlock()
	s.crash()
	return s
}

// stopBeats ends the heartbeats of the current server; those that are under way arrive.
func (h *host) stopBeats() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beating = false
}

// delayBeats sets how late the heartbeats of later servers arrive.
func (h *host) delayBeats(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = d
}

// beat sends the heartbeats of a server until it is replaced or stops to send them.
func (h *host) beat(s *server) {
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		h.mu.Lock()
		current, delay := h.server == s && h.beating, h.delay
		h.mu.Unlock()
		if !current {
			return
		}
		body := h.body(s, "ready")
		time.AfterFunc(delay, func() {
			if status := h.send(s, "heartbeat", body); status != http.StatusOK {
				h.write("a heartbeat of server %s is answered %d", s.id, status)
			}
		})
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			return
		}
	}
}

// report sends what a server says of itself, and returns the status of the answer, or 0.
func (h *host) report(s *server, verb, state string) int { return h.send(s, verb, h.body(s, state)) }

// body returns what a server says of itself; without a state, that it has left.
func (h *host) body(s *server, state string) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	fields := map[string]any{
		"service": s.service, "address": s.addr, "zone": h.zone, "version": "v1", "slots": s.slots,
		"coldLeft": "0ms", "seq": h.seq, "born": s.born,
	}
	if state != "" {
		fields["state"] = state
	}
	body, _ := json.Marshal(fields) // plain values always encode
	return body
}

func (h *host) send(s *server, verb string, body []byte) int {
	response, err := h.http.Post("http://"+h.ip+":8146/api/instances/"+s.id+"/"+verb, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	h.write("%s of server %s is answered %d by node %s: %s", verb, s.id, response.StatusCode, h.name, body)
	return response.StatusCode
}

// ready reports whether the node answers the platform's readiness probe with 200.
func (h *host) ready() bool {
	response, err := h.http.Get("http://" + h.ip + ":8140/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
