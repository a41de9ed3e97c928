package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Ports of each host.
const (
	portPeer    = "7660"
	portReady   = "8140"
	portCallers = "8141"
	portReports = "8146"
	portServer  = "8147"
	portMetrics = "9464"
)

const (
	beatInterval = 1500 * time.Millisecond
	// memoryMB is self.limits.memoryMb of the pages' example.
	memoryMB = 284
)

// host is a machine: a node in its own process, and a stand-in for its backend server.
type host struct {
	*trial
	name, ip, service string
	index             int

	mu sync.Mutex
	// servers are the incarnations of the backend server, the newest last.
	servers  []*server
	cmd      *exec.Cmd
	exited   chan struct{}
	ended    bool
	seq      int
	stopBeat chan struct{}
}

func (h *host) addr(port string) string { return net.JoinHostPort(h.ip, port) }

// settings returns the lines of a settings file like the pages' example.
func (h *host) settings(bootstrap bool) string {
	zone := h.index % 3
	return fmt.Sprintf(`self.nodeName=%s
self.role=node
self.machineClass=sidecar
self.serves=sidecar
self.ip=%s
self.zone=z%d
self.region=r%d
self.faultCounted=false
self.bootstrap=%t
self.limits.cpuShare=0.32
self.limits.cpuCores=1
self.limits.memoryMb=%d
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
self.appAddr=%s
self.service=%s
network.listen.outbound=%s
network.listen.ready=%s
network.listen.control=%s
network.internalPorts=%s,7675
network.seeds=
platform.discovery=static
platform.entryType=static
platform.beatInterval=1500ms
platform.platform.address=%s
platform.platform.form=table
terms.bounds.seedLag=3s
terms.bounds.addrReuse=2s
terms.bounds.stableWindow=3000ms
terms.bounds.ack=4000ms
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lossSlack=200ms
terms.bounds.configApply=2000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetExtraTries=64
terms.bounds.recover=15s
`, h.name, h.ip, zone, zone, bootstrap, memoryMB, h.addr(portServer), h.service,
		h.addr(portCallers), h.addr(portReady), h.addr(portReports), portPeer, h.store.Addr())
}

func (h *host) settingsPath() string { return filepath.Join(h.dir, h.name+".conf") }

// startNode writes the settings and starts the node as the deploy file does.
func (h *host) startNode(bootstrap bool) error {
	if err := os.WriteFile(h.settingsPath(), []byte(h.settings(bootstrap)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		_ = log.Close()
		return nil
	}
	cmd := exec.Command("target/vanillasail")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "VANILLASAIL_NODE_FILE=" + h.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill kills the node and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// end ends the node and the server for good.
func (h *host) end() {
	h.mu.Lock()
	h.ended = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.kill()
	if len(h.servers) > 0 {
		h.server().stop()
	}
}

func (h *host) isReady() bool {
	response, err := quickClient.Get("http://" + h.addr(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startServer starts the backend server and its heartbeats.
func (h *host) startServer() error {
	if err := h.nextServer(); err != nil {
		return err
	}
	h.stopBeat = make(chan struct{})
	h.addCleanup(func() { close(h.stopBeat) })
	go func() {
		for {
			h.beat()
			select {
			case <-h.stopBeat:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
	return nil
}

// downTime is how long a crashed server is away.
const downTime = 2 * time.Second

// nextServer starts the next incarnation of the backend server, which starts again after a
// crash.
func (h *host) nextServer() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := &server{
		id: fmt.Sprintf("i-%s-%d-%d", h.name, os.Getpid(), len(h.servers)), service: h.service, slots: 12, born: time.Now().UnixMilli(),
		work: 90 * time.Millisecond, trial: h.trial, outbound: h.addr(portCallers),
	}
	s.crashed = func() {
		time.AfterFunc(downTime, func() {
			if err := h.nextServer(); err != nil {
				h.record("server of %s not started again: %v", h.name, err)
				return
			}
			h.beat()
		})
	}
	if h.ended {
		return nil
	}
	h.servers, h.seq = append(h.servers, s), 0
	return s.start(h.addr(portServer))
}

// server returns the newest incarnation of the backend server.
func (h *host) server() *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers[len(h.servers)-1]
}

// ran returns how often a request began to run on the host.
func (h *host) ran(id string) (n int) {
	h.mu.Lock()
	servers := slices.Clone(h.servers)
	h.mu.Unlock()
	for _, s := range servers {
		n += s.ran(id)
	}
	return n
}

// crashes returns when servers of the host have crashed.
func (h *host) crashes() (times []time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if at := s.crashTime(); !at.IsZero() {
			times = append(times, at)
		}
	}
	return times
}

// beat sends a heartbeat of the backend server, unless it is down.
func (h *host) beat() {
	s := h.server()
	if !s.crashTime().IsZero() {
		return
	}
	h.mu.Lock()
	h.seq++
	seq := h.seq
	h.mu.Unlock()
	body, _ := json.Marshal(map[string]any{ // plain values always encode
		"service": h.service, "address": h.addr(portServer), "zone": fmt.Sprintf("z%d", h.index%3), "version": "v1", "slots": s.slots,
		"state": s.currentState(), "coldLeft": "0ms", "seq": seq, "born": s.born,
	})
	post("http://"+h.addr(portReports)+"/api/instances/"+s.id+"/heartbeat", body)
}
