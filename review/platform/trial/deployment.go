package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/vanillasail/vanillasail/platform/standin"
)

// program is what deploy/system.toml builds, relative to the root of the repository.
const program = "target/vanillasail"

// Bounds of the settings, as on the pages.
const (
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
	graceTime    = 6 * time.Second
	memoryLimit  = 284 << 20
)

const settingsText = `self.nodeName=%[1]s
self.role=node
self.machineClass=sidecar
self.serves=sidecar
self.ip=%[2]s
self.zone=%[3]s
self.region=%[4]s
self.faultCounted=false
self.bootstrap=%[5]v
self.limits.cpuShare=0.32
self.limits.cpuCores=1
self.limits.memoryMb=284
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
self.appAddr=%[2]s:8147
self.service=%[6]s
network.listen.inbound=%[2]s:8145
network.listen.outbound=%[2]s:8141
network.listen.ready=%[2]s:8140
network.listen.control=%[2]s:8146
network.internalPorts=7660,7675
network.seeds=
network.zones.poa-a=poa
network.zones.poa-b=poa
platform.discovery=static
platform.entryType=static
platform.beatInterval=1500ms
platform.platform.address=%[7]s
platform.platform.form=table
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.tx=4ms
platform.platform.partWritesS=250
platform.platform.rowBytes=65536
platform.platform.across=true
platform.platform.history=20s
platform.platform.blobBytes=8388608
platform.platform.blob=25ms
platform.platform.blobMbS=80.0
terms.contracts=base,drain,config,cost,retry,recover,health,platform
terms.faultTolerance.machines=2
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
terms.bounds.seedLag=3s
terms.bounds.addrReuse=2s
terms.bounds.stableWindow=3000ms
terms.bounds.ack=4000ms
terms.bounds.catchUp=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lossSlack=200ms
terms.bounds.configApply=2000ms
terms.bounds.revertSlack=250ms
terms.bounds.maxStretch=5000ms
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetExtraTries=64
terms.bounds.recover=15s
terms.bounds.probesPerS=60
`

// configText is the operator's configuration, with the limits that the platform's
// example has.
const configText = `{"version":"r7","routes":[
{"name":"look","host":"a.example","pathPrefix":"/look/","routeType":"idempotent","timeout":"1200ms","targetLatency":"300ms","priority":2,"service":"stock","maxAttempts":2},
{"name":"order","host":"a.example","pathPrefix":"/order/","routeType":"non_idempotent","timeout":"1500ms","targetLatency":"300ms","priority":1,"service":"stock","maxAttempts":2},
{"name":"upload","host":"a.example","pathPrefix":"/upload/","routeType":"upload","timeout":"1500ms","targetLatency":"400ms","priority":1,"service":"stock","maxAttempts":2}],
"services":[{"name":"stock","healthPath":"/health","maxConns":260,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":"r5"}`

// host and service are those of the configuration.
const (
	host    = "a.example"
	service = "stock"
)

// deployment is a store and some machines, each with a node and a backend server.
type deployment struct {
	*recorder
	dir      string
	store    standin.Store
	machines []*machine
	cleanups []func()
}

// machine is a node in its own process and the backend server beside it.
type machine struct {
	*recorder
	name, ip, dir string
	server        *server
	settings      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// started is when the process was started last.
	started time.Time
}

// start starts the store and n machines and waits until all nodes are ready and have
// heard of each other.
func (d *deployment) start(n int) error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%s is missing; run the build of deploy/system.toml: %w", program, err)
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "trial"); err != nil {
		return err
	}
	d.store.Start(func(f func()) { d.cleanups = append(d.cleanups, f) })
	d.store.Put("op", "config", []byte(configText))
	subnet, err := freeSubnet(n)
	if err != nil {
		return err
	}
	for i := range n {
		m := &machine{recorder: d.recorder, name: fmt.Sprintf("sidecar-%d", i+1), ip: fmt.Sprintf("%s.%d", subnet, i+1)}
		d.machines = append(d.machines, m)
		if err := d.prepare(m, i); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.startNode(); err != nil {
			return err
		}
		if err := m.server.start(); err != nil {
			return err
		}
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(stableWindow) // all machines are in touch from here on
	d.log("%d machines are ready", n)
	return nil
}

// prepare writes the settings of a machine.
func (d *deployment) prepare(m *machine, i int) error {
	m.dir = filepath.Join(d.dir, m.name)
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	zone := [...]string{"poa-a", "poa-b"}[i%2]
	write := func(first bool) error {
		text := fmt.Sprintf(settingsText, m.name, m.ip, zone, "poa", first, service, d.store.Addr())
		return os.WriteFile(m.settings, []byte(text), 0o644)
	}
	m.settings = filepath.Join(m.dir, "boot.conf")
	m.server = &server{recorder: d.recorder, machine: m, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), slots: 12, work: 90 * time.Millisecond}
	d.cleanups = append(d.cleanups, m.server.stop)
	if err := write(true); err != nil {
		return err
	}
	// The whole system starts for the first time only once.
	time.AfterFunc(2*time.Second, func() { _ = write(false) })
	return nil
}

// freeSubnet returns the first three numbers of loopback addresses on which the ports of
// a machine are free.
func freeSubnet(n int) (string, error) {
	for try := range 200 {
		k := os.Getpid() + try*7
		subnet := fmt.Sprintf("127.%d.%d", 40+k%200, 1+k/200%250)
		free := true
		for i := range n {
			for _, port := range []int{8140, 8141, 8145, 8146, 8147, 7660, 9464} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", subnet, i+1, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return subnet, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func (d *deployment) awaitReady(timeout time.Duration) error {
	for _, m := range d.machines {
		if err := m.awaitReady(timeout); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and stand-ins.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
	}
	for _, f := range d.cleanups {
		f()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
}

// startNode starts the node as the platform does, and again after each end that the case
// has not caused.
func (m *machine) startNode() error {
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(program)
	cmd.Env = []string{"VANILLASAIL_NODE_FILE=" + m.settings, "GOMAXPROCS=1"}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.started = cmd, exited, time.Now()
	m.mu.Unlock()
	m.log("%s: node started", m.name)
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the node at once.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// restart stops the node with SIGTERM, as in a rolling restart, and starts it again.
func (m *machine) restart() error {
	m.log("%s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceTime):
		m.kill()
	}
	m.log("%s: node has ended", m.name)
	return m.startNode()
}

// startedAt returns when the node was started last.
func (m *machine) startedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

func (m *machine) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ip + ":8140/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			m.log("%s: node is ready", m.name)
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(m.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return fmt.Errorf("%s is not ready after %s; its last line: %s", m.name, timeout, lines[len(lines)-1])
}

// logLines copies the lines of the node's log that contain a text to the record.
func (m *machine) logLines(parts ...string) {
	text, _ := os.ReadFile(filepath.Join(m.dir, "log"))
	for line := range strings.Lines(string(text)) {
		for _, part := range parts {
			if strings.Contains(line, part) {
				m.log("log of %s: %s", m.name, strings.TrimSpace(line))
				break
			}
		}
	}
}
